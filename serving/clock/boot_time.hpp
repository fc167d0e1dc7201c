#pragma once

#include <marjorampath/core/time.hpp>

namespace marjorampath::serving
{

/// Returns the current time of CLOCK_BOOTTIME, the monotonic clock that all decisions
/// use; it also advances while the machine is suspended.
time_point boot_now() noexcept;

/// Returns the wall clock time in milliseconds since 1970.
wall_milliseconds wall_now() noexcept;

} // namespace marjorampath::serving
