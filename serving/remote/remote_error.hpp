#pragma once

#include <system_error>

namespace marjorampath::serving
{

/// Why a read from a service of the platform gave no value.
enum class remote_error
{
    /// The service does not have the value (404).
    not_found = 1,
    /// No newer revision came within the wait (304).
    not_modified,
    /// The service is above its rate of reads (429).
    rate_limited,
    /// The service answered with another status.
    unexpected_status,
    /// The answer was not understood.
    malformed
};

/// The category of remote_error.
std::error_category const& remote_error_category() noexcept;

/// Makes an error code of a remote_error; found by argument-dependent look-up.
std::error_code make_error_code(remote_error error) noexcept;

} // namespace marjorampath::serving

template <>
struct std::is_error_code_enum<marjorampath::serving::remote_error> : std::true_type
{
};
