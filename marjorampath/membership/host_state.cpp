#include <marjorampath/membership/host_state.hpp>

#include <algorithm>
#include <array>

namespace marjorampath
{

namespace
{

// Indexed by enumerator
constexpr std::array<std::string_view, 4> names = {"alive", "leaving", "suspect", "dead"};

} // namespace

std::string_view to_string(host_state value) noexcept
{
    return names[static_cast<std::size_t>(value)];
}

std::optional<host_state> parse_host_state(std::string_view name) noexcept
{
    auto const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<host_state>(found - names.begin());
}

} // namespace marjorampath
