#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/token_bucket.hpp>

#include <cassert>
#include <cstdint>

namespace marjorampath
{

/// Permits to start adapter loads: within the weight store's rate, and never more in
/// transit than it serves at full speed.
class load_permits
{
public:
    /// Makes permits for a rate of loads a second, a burst, and a bound in transit.
    load_permits(double rate, double burst, std::uint32_t bound) noexcept
        : bucket_(rate, burst), bound_(bound)
    {
    }

    /// Whether a load may start now.
    [[nodiscard]] bool available(time_point now) const noexcept
    {
        return in_transit_ < bound_ && bucket_.available(now);
    }

    /// Takes a permit; there must be one.
    void take(time_point now) noexcept
    {
        assert(available(now));
        bucket_.take(now);
        ++in_transit_;
    }

    /// A load has ended.
    void finish() noexcept
    {
        assert(in_transit_ > 0);
        --in_transit_;
    }

    /// Number of loads in transit.
    [[nodiscard]] std::uint32_t in_transit() const noexcept
    {
        return in_transit_;
    }

    /// Whether only the end of another load can free a permit.
    [[nodiscard]] bool at_transit_limit() const noexcept
    {
        return in_transit_ >= bound_;
    }

    /// Earliest time at which the rate allows a load.
    [[nodiscard]] time_point next(time_point now) const noexcept
    {
        return bucket_.next(now);
    }

private:
    // Store's rate
    token_bucket bucket_;
    // Largest number in transit
    std::uint32_t bound_;
    // Number in transit
    std::uint32_t in_transit_ = 0;
};

} // namespace marjorampath
