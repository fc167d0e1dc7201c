#pragma once

#include <algorithm>

namespace marjorampath
{

/// Clock for the ageing of adapter demand. It counts requests instead of time, so that
/// estimates do not decay while there is no traffic, and runs faster while misses are
/// more frequent than usual, so that demand for an outdated working set decays quickly.
class demand_clock
{
public:
    /// Counts a request; `missed` tells whether its adapter was not resident. `half_life`
    /// is the length of a half-life in requests.
    void tick(bool missed, double half_life) noexcept
    {
        auto const sample = missed ? 1.0 : 0.0;
        recent_miss_ratio_ += recent_weight * (sample - recent_miss_ratio_);
        usual_miss_ratio_ += usual_weight * (sample - usual_miss_ratio_);
        auto const excess =
            recent_miss_ratio_ / std::max(usual_miss_ratio_, min_usual_miss_ratio);
        auto const speed = excess > shift_excess ? shift_speed : 1.0;
        half_lives_ += speed / std::max(1.0, half_life);
    }

    /// Clock reading in half-lives since the start.
    [[nodiscard]] double half_lives() const noexcept
    {
        return half_lives_;
    }

private:
    // Weights of a new sample in the exponential moving averages of the miss ratio
    static constexpr double recent_weight = 1.0 / 32;
    static constexpr double usual_weight = 1.0 / 1'024;
    // Lower bound of the usual miss ratio in the comparison with the recent one
    static constexpr double min_usual_miss_ratio = 0.05;
    // Ratio of recent to usual misses above which the working set is taken as changed,
    // and the clock's speed while it stays above
    static constexpr double shift_excess = 1.4;
    static constexpr double shift_speed = 64.0;

    // Clock reading in half-lives
    double half_lives_ = 0;
    // Miss ratio of recent requests
    double recent_miss_ratio_ = 1;
    // Long-term miss ratio
    double usual_miss_ratio_ = 1;
};

} // namespace marjorampath
