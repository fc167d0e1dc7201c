#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/load_backoff.hpp>

#include <cstdint>
#include <random>

namespace marjorampath
{

/// Ejects an endpoint that fails several times in a row, and probes it again later.
class circuit_breaker
{
public:
    /// Notes a failure; returns whether the breaker opened by it.
    template <std::uniform_random_bit_generator Generator>
    bool fail(std::uint32_t threshold, backoff_limits const& limits, time_point now,
              Generator& random)
    {
        ++failures_;
        probing_ = false;
        if (failures_ < threshold)
            return false;
        backoff_.fail(limits, now, random);
        open_ = true;
        return true;
    }

    /// Notes a success, which closes the breaker.
    void succeed() noexcept
    {
        failures_ = 0;
        open_ = false;
        probing_ = false;
        backoff_.succeed();
    }

    /// Notes that a request was granted; an open breaker lets one through as a probe.
    void granted() noexcept
    {
        probing_ = open_;
    }

    /// Notes that a probe ended without spread_time anything.
    void inconclusive() noexcept
    {
        probing_ = false;
    }

    /// Whether a request may be granted now.
    [[nodiscard]] bool allows(time_point now) const noexcept
    {
        return !open_ || (!probing_ && now >= backoff_.not_before());
    }

    /// Whether requests are held back, but for probes.
    [[nodiscard]] bool open() const noexcept
    {
        return open_;
    }

    /// Earliest time of the next probe.
    [[nodiscard]] time_point not_before() const noexcept
    {
        return backoff_.not_before();
    }

private:
    // Failures in a row
    std::uint32_t failures_ = 0;
    // Whether requests are held back
    bool open_ = false;
    // Whether a probe runs
    bool probing_ = false;
    // Pauses between probes
    load_backoff backoff_;
};

} // namespace marjorampath
