#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>

namespace marjorampath
{

/// The clock of all timing decisions.
///
/// It is monotonic and includes time during which the machine was suspended
/// (CLOCK_BOOTTIME). The code in marjorampath/ uses only its types and gets the current
/// time as an argument of each event; only the code in serving/ reads the clock.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time on one host; not comparable between hosts.
using time_point = boot_clock::time_point;

/// A length of time.
using duration = boot_clock::duration;

/// Wall-clock point in time, as milliseconds since 1970; comparable between hosts up to
/// their clock error.
using wall_milliseconds = std::chrono::duration<std::int64_t, std::milli>;

} // namespace marjorampath
