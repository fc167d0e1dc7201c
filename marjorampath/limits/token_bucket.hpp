#pragma once

#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// A rate limiter that allows short bursts.
class token_bucket
{
public:
    /// Creates a full bucket of `burst` tokens that refills at `rate` tokens per second.
    token_bucket(double rate, double burst) noexcept;

    /// Creates a bucket that is empty at `now`.
    static token_bucket empty(double rate, double burst, time_point now) noexcept;

    /// Changes rate and capacity from `now` on; excess tokens are lost.
    void set_rate(double rate, double burst, time_point now) noexcept;

    /// Whether at least one token is available.
    [[nodiscard]] bool available(time_point now) const noexcept;

    /// Takes one token. Precondition: `available(now)`.
    void take(time_point now) noexcept;

    /// Adds tokens, up to the capacity.
    void add(double tokens) noexcept;

    /// Number of tokens, with a fraction.
    [[nodiscard]] double level(time_point now) const noexcept;

    /// Earliest time at which a token is available; at most about an hour from `now`.
    [[nodiscard]] time_point next_available(time_point now) const noexcept;

private:
    // Tokens per second
    double rate_;
    // Capacity in tokens
    double burst_;
    // Tokens at the time of the last change
    double level_;
    // Time of the last change
    time_point changed_{};
};

} // namespace marjorampath
