#pragma once

#include <marjorampath/core/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace marjorampath::bench
{

/// The weight store. It starts loads at a fixed rate in the order of their requests; with
/// more than eight loads in transit, a load takes longer in proportion to their number.
class fake_store
{
public:
    /// A store that starts `rate` loads per second, and two at once after a pause.
    explicit fake_store(double rate) : interval_(static_cast<std::int64_t>(1e9 / rate)) {}

    /// Reserves the next start of a load; returns its time.
    time_point reserve_start(time_point now)
    {
        // Two loads may start together after a pause
        next_ = std::max(next_, now - interval_);
        auto const start = std::max(now, next_);
        next_ += interval_;
        return start;
    }

    /// Starts a load; returns its duration.
    duration start()
    {
        ++in_transit_;
        using namespace std::chrono_literals;
        constexpr duration load_time = 250ms;
        constexpr std::uint32_t max_full_speed_loads = 8;
        return load_time * std::max(in_transit_, max_full_speed_loads) /
               max_full_speed_loads;
    }

    /// Ends a load.
    void finish()
    {
        --in_transit_;
    }

private:
    // Time between starts
    duration interval_;
    // Earliest start of the next load
    time_point next_{};
    // Number of loads that have started and not ended
    std::uint32_t in_transit_ = 0;
};

} // namespace marjorampath::bench
