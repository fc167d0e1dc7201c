#pragma once

#include <marjorampath/core/time.hpp>

namespace marjorampath::serving
{

/// The current time of the clock that decisions are timed by (CLOCK_BOOTTIME).
time_point boot_now() noexcept;

/// The wall clock in milliseconds since 1970.
wall_milliseconds wall_now() noexcept;

} // namespace marjorampath::serving
