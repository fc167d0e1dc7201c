#pragma once

#include <marjorampath/core/time.hpp>

#include <optional>

namespace marjorampath
{

/// When a stream began that a caller continues, as far as that is certain.
struct stream_begin
{
    /// Time before which it cannot have begun, whatever its caller tells.
    time_point earliest;
    /// The same if its caller waits as long as the route's timeout, and tells truly how
    /// much of that is left.
    time_point told_earliest;
    /// Time by which it had begun: the caller's attempt arrived.
    time_point latest;
};

/// What an attempt that continues a stream tells of the stream's age.
struct continued_attempt
{
    /// When it arrived at this host.
    time_point arrived;
    /// Time for which its caller waits on; empty if the caller does not tell it.
    std::optional<duration> time_left;
    /// Timeout of its route in force.
    duration timeout{0};
};

/// Bounds the time at which a stream began. `max_stream_age` is the longest time over
/// which a stream may be continued.
///
/// A caller's deadline does not bound the age for certain: it may be longer than the
/// route's timeout, which may also have been lowered since.
stream_begin bound_stream_begin(continued_attempt const& attempt,
                                duration max_stream_age);

} // namespace marjorampath
