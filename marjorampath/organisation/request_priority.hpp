#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjorampath
{

/// Priority of a request in a deployment with organisations: that of its organisation
/// goes first, and among equals that of its route. Endpoints tell ten priorities apart,
/// which leaves three of each; what lies beyond shares the last one. An organisation
/// without a priority takes that of the route.
constexpr std::uint32_t request_priority(std::optional<std::uint32_t> organisation,
                                         std::uint32_t route) noexcept
{
    constexpr std::uint32_t levels = 3;
    auto const first = std::min(organisation.value_or(route), levels);
    auto const second = first == levels ? 0 : std::min(route, levels - 1);
    return first * levels + second;
}

} // namespace marjorampath
