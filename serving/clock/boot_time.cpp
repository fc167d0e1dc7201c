#include <serving/clock/boot_time.hpp>

#include <ctime>

namespace marjorampath::serving
{

namespace
{

duration read_clock(clockid_t clock) noexcept
{
    timespec value{};
    ::clock_gettime(clock, &value);
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

} // namespace

time_point boot_now() noexcept
{
    return time_point(read_clock(CLOCK_BOOTTIME));
}

wall_milliseconds wall_now() noexcept
{
    return std::chrono::duration_cast<wall_milliseconds>(read_clock(CLOCK_REALTIME));
}

} // namespace marjorampath::serving
