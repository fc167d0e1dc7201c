#pragma once

#include <system_error>

namespace marjorampath::serving
{

/// Errors of reads from a platform service.
enum class remote_error
{
    /// The service does not have the value (404).
    not_found = 1,
    /// No newer revision appeared before the request's wait ended (304).
    not_modified,
    /// The read rate limit of the service was exceeded (429).
    rate_limited,
    /// The service answered with any other status.
    unexpected_status,
    /// The answer could not be parsed.
    malformed,
    /// The store was restored from a copy since the position that was asked for, or while
    /// its pages were read.
    history_changed,
    /// The store no longer has the changes that were asked for (410), or the answer is
    /// from before it was restored from a copy.
    history_lost,
    /// The rest of a list cannot be read: its pages do not advance, or it is too long.
    list_incomplete
};

/// Returns the error category of remote_error.
std::error_category const& remote_error_category() noexcept;

/// Creates an error code from a remote_error; found by argument-dependent lookup.
std::error_code make_error_code(remote_error error) noexcept;

} // namespace marjorampath::serving

template <>
struct std::is_error_code_enum<marjorampath::serving::remote_error> : std::true_type
{
};
