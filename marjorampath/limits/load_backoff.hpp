#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/jitter.hpp>

#include <algorithm>
#include <cstdint>
#include <random>

namespace marjorampath
{

/// Bounds of the pauses after failures.
struct backoff_limits
{
    /// First pause; doubles with each further failure.
    duration first{0};
    /// Longest pause.
    duration longest{0};
};

/// Pauses after failures of the same thing in a row.
class load_backoff
{
public:
    /// Notes a failure; the pause doubles with each one in a row and has jitter.
    template <std::uniform_random_bit_generator Generator>
    void fail(backoff_limits const& limits, time_point now, Generator& random)
    {
        constexpr std::uint32_t largest_shift = 20;
        auto const shift = std::min(failures_, largest_shift);
        auto const pause =
            std::min(limits.longest, duration(limits.first * (1LL << shift)));
        not_before_ = now + jittered(pause, random);
        ++failures_;
    }

    /// Notes a success.
    void succeed() noexcept
    {
        failures_ = 0;
        not_before_ = {};
    }

    /// Failures in a row.
    [[nodiscard]] std::uint32_t failures() const noexcept
    {
        return failures_;
    }

    /// Earliest time of the next try.
    [[nodiscard]] time_point not_before() const noexcept
    {
        return not_before_;
    }

private:
    // Failures in a row
    std::uint32_t failures_ = 0;
    // Earliest time of the next try
    time_point not_before_{};
};

} // namespace marjorampath
