#pragma once

#include <marjorampath/core/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace marjorampath::bench
{

/// The weight store: starts loads at a rate, in the order in which they were asked, and
/// is slower in proportion with more than eight in transit.
class fake_store
{
public:
    /// A store that starts `rate` loads a second, two at once after a pause.
    explicit fake_store(double rate) : interval_(static_cast<std::int64_t>(1e9 / rate)) {}

    /// Time at which a load that is asked for now starts.
    time_point start_time(time_point now)
    {
        // Two loads may start together after a pause
        next_ = std::max(next_, now - interval_);
        auto const start = std::max(now, next_);
        next_ += interval_;
        return start;
    }

    /// A load starts; returns how long it takes.
    duration start()
    {
        ++in_transit_;
        using namespace std::chrono_literals;
        constexpr duration load_time = 250ms;
        constexpr std::uint32_t full_speed = 8;
        return load_time * std::max(in_transit_, full_speed) / full_speed;
    }

    /// A load ended.
    void finish()
    {
        --in_transit_;
    }

private:
    // Time between starts
    duration interval_;
    // Time from which the next load may start
    time_point next_{};
    // Loads that started and have not ended
    std::uint32_t in_transit_ = 0;
};

} // namespace marjorampath::bench
