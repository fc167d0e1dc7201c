#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorampath::serving
{

/// What a token allows. Each role allows what the ones before it allow.
enum class admin_role : std::uint8_t
{
    /// To read.
    viewer,
    /// To act as well.
    operate
};

/// The name of a role: `viewer` or `operator`.
std::string_view to_string(admin_role role) noexcept;

/// The role of a name, or nothing where the name is not one.
std::optional<admin_role> parse_admin_role(std::string_view name) noexcept;

} // namespace marjorampath::serving
