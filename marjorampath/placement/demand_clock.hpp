#pragma once

#include <algorithm>

namespace marjorampath
{

/// The clock by which the demand for adapters ages: it counts requests, so that a quiet
/// hour forgets nothing, and runs faster while misses are more frequent than usual, so
/// that a hot set that has changed is forgotten soon.
class demand_clock
{
public:
    /// Notes a request, and whether its adapter was missing. One half-life has
    /// `half_life` requests.
    void tick(bool missed, double half_life) noexcept
    {
        auto const sample = missed ? 1.0 : 0.0;
        recent_ += recent_weight * (sample - recent_);
        usual_ += usual_weight * (sample - usual_);
        auto const excess = recent_ / std::max(usual_, least_usual);
        auto const speed = excess > shift_excess ? shift_speed : 1.0;
        age_ += speed / std::max(1.0, half_life);
    }

    /// Age in half-lives.
    [[nodiscard]] double age() const noexcept
    {
        return age_;
    }

private:
    // Parts that a new sample has in the smoothed shares of misses
    static constexpr double recent_weight = 1.0 / 32;
    static constexpr double usual_weight = 1.0 / 1'024;
    // Least share of misses that counts as usual
    static constexpr double least_usual = 0.05;
    // Excess of recent misses over the usual that tells of a shift, and the clock's speed
    // while it lasts
    static constexpr double shift_excess = 1.4;
    static constexpr double shift_speed = 64.0;

    // Age in half-lives
    double age_ = 0;
    // Share of misses of late
    double recent_ = 1;
    // Share of misses over a long time
    double usual_ = 1;
};

} // namespace marjorampath
