#pragma once

#include <system_error>

namespace marjorampath::serving
{

/// Why a call to another node has no reply.
enum class link_error
{
    /// No error.
    none,
    /// The call was never sent: the other node certainly did not act on it.
    unreachable,
    /// Too many calls or unsent bytes are pending; the call was never sent.
    overloaded,
    /// The connection failed after the call was sent; the other node may have acted on
    /// the call.
    connection_lost,
    /// No reply arrived in time; the other node may have acted on the call.
    timed_out,
    /// The other node does not implement the call, for example an older version.
    unsupported,
    /// The other node failed to handle the call, or one side could not decode a message.
    failed
};

/// Whether a call that failed with this error was certainly never sent.
bool was_never_sent(std::error_code const& error) noexcept;

/// The error category of `link_error`.
std::error_category const& link_error_category() noexcept;

/// Makes an `std::error_code`; called by its converting constructor.
std::error_code make_error_code(link_error error) noexcept;

} // namespace marjorampath::serving

template <>
struct std::is_error_code_enum<marjorampath::serving::link_error> : std::true_type
{
};
