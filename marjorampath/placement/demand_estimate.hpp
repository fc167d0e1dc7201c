#pragma once

#include <marjorampath/core/time.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace marjorampath
{

/// Frequency of requests with exponential ageing.
///
/// Holds the binary logarithm of the sum of 2^(t/h) over the times t of all requests,
/// with h the half-life. All values age alike, so their order changes only with new
/// requests and they may be kept in a sorted index.
class demand_estimate
{
public:
    /// Notes a request.
    void add(time_point now, duration half_life) noexcept
    {
        auto const event = at(now, half_life);
        auto const high = std::max(level_, event);
        auto const low = std::min(level_, event);
        level_ = high + std::log2(1.0 + std::exp2(low - high));
    }

    /// Logarithm of the frequency, comparable between adapters.
    [[nodiscard]] double level() const noexcept
    {
        return level_;
    }

    /// Requests within about a half-life, by which the level of one request ages.
    [[nodiscard]] double recent(time_point now, duration half_life) const noexcept
    {
        return std::exp2(level_ - at(now, half_life));
    }

private:
    // The level of a single request at a time
    static double at(time_point now, duration half_life) noexcept
    {
        std::chrono::duration<double> const since = now.time_since_epoch();
        std::chrono::duration<double> const half = half_life;
        return since.count() / half.count();
    }

    // Logarithm of the frequency; no request yet
    double level_ = -std::numeric_limits<double>::max();
};

} // namespace marjorampath
