#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/jitter.hpp>

#include <algorithm>
#include <cstdint>
#include <random>

namespace marjorampath
{

/// Delays of an exponential back-off.
struct backoff_limits
{
    /// Delay after the first failure; doubles with each further one.
    duration first{0};
    /// Maximum delay, before jitter.
    duration longest{0};
};

/// Exponential back-off with jitter after consecutive failures.
class exponential_backoff
{
public:
    /// Records a failure; the delay doubles with each consecutive one and has jitter.
    template <std::uniform_random_bit_generator Generator>
    void fail(backoff_limits const& limits, time_point now, Generator& random)
    {
        constexpr std::uint32_t max_shift = 20;
        auto const shift = std::min(failures_, max_shift);
        auto const delay =
            std::min(limits.longest, duration(limits.first * (1LL << shift)));
        not_before_ = now + jittered(delay, random);
        ++failures_;
    }

    /// Records a success, which resets the delay.
    void succeed() noexcept
    {
        failures_ = 0;
        not_before_ = {};
    }

    /// Consecutive failures.
    [[nodiscard]] std::uint32_t failures() const noexcept
    {
        return failures_;
    }

    /// Earliest time of the next attempt.
    [[nodiscard]] time_point not_before() const noexcept
    {
        return not_before_;
    }

private:
    // Consecutive failures
    std::uint32_t failures_ = 0;
    // Earliest time of the next attempt
    time_point not_before_{};
};

} // namespace marjorampath
