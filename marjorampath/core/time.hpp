#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>

namespace marjorampath
{

/// The clock that all decisions are timed by.
///
/// It is monotonic and counts time during which the machine was suspended
/// (CLOCK_BOOTTIME). The decision library only uses its types: the current time is an
/// argument of each event. The serving library reads it.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time of one host; not comparable between hosts.
using time_point = boot_clock::time_point;

/// A length of time.
using duration = boot_clock::duration;

/// Coarse wall-clock time in milliseconds since 1970, comparable between hosts up to
/// their clock error.
using wall_milliseconds = std::chrono::duration<std::int64_t, std::milli>;

} // namespace marjorampath
