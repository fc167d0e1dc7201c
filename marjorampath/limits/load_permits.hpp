#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/token_bucket.hpp>

#include <cassert>
#include <cstdint>

namespace marjorampath
{

/// Limits the rate of adapter loads to that of the weight store, and the number of
/// concurrent loads to what the store serves at full speed.
class load_permits
{
public:
    /// Creates permits for `rate` loads per second with bursts of `burst` loads, and at
    /// most `max_in_transit` concurrent loads.
    load_permits(double rate, double burst, std::uint32_t max_in_transit) noexcept
        : bucket_(rate, burst), max_in_transit_(max_in_transit)
    {
    }

    /// Whether a load may start now.
    [[nodiscard]] bool available(time_point now) const noexcept
    {
        return in_transit_ < max_in_transit_ && bucket_.available(now);
    }

    /// Takes a permit. Precondition: `available(now)`.
    void take(time_point now) noexcept
    {
        assert(available(now));
        bucket_.take(now);
        ++in_transit_;
    }

    /// Records the end of a load.
    void finish() noexcept
    {
        assert(in_transit_ > 0);
        --in_transit_;
    }

    /// Number of loads that took a permit and have not finished.
    [[nodiscard]] std::uint32_t in_transit() const noexcept
    {
        return in_transit_;
    }

    /// Whether the maximum number of concurrent loads is reached.
    [[nodiscard]] bool at_transit_limit() const noexcept
    {
        return in_transit_ >= max_in_transit_;
    }

    /// Earliest time at which the rate limit allows a load.
    [[nodiscard]] time_point next_available(time_point now) const noexcept
    {
        return bucket_.next_available(now);
    }

private:
    // Rate limit
    token_bucket bucket_;
    // Maximum number of concurrent loads
    std::uint32_t max_in_transit_;
    // Number of concurrent loads
    std::uint32_t in_transit_ = 0;
};

} // namespace marjorampath
