#pragma once

#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// A rate limit that lets short bursts through.
class token_bucket
{
public:
    /// Makes a full bucket of `burst` tokens that is refilled at `rate` tokens a second.
    token_bucket(double rate, double burst) noexcept;

    /// Whether a whole token is there.
    [[nodiscard]] bool available(time_point now) const noexcept;

    /// Takes one token; there must be one.
    void take(time_point now) noexcept;

    /// Adds tokens, up to the burst.
    void add(double tokens) noexcept;

    /// Number of tokens, in parts of one.
    [[nodiscard]] double level(time_point now) const noexcept;

    /// Earliest time at which a whole token is there.
    [[nodiscard]] time_point next(time_point now) const noexcept;

private:
    // Tokens a second
    double rate_;
    // Largest number of tokens
    double burst_;
    // Tokens at the time of the last change
    double level_;
    // Time of the last change
    time_point changed_{};
};

} // namespace marjorampath
