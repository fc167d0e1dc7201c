#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/exponential_backoff.hpp>

#include <cstdint>
#include <random>

namespace marjorampath
{

/// Ejects an endpoint after consecutive failures and probes it again after a back-off.
class circuit_breaker
{
public:
    /// Records a failure. Returns true if the breaker opened or stayed open because the
    /// number of consecutive failures reached the threshold.
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

    /// Records a success, which closes the breaker.
    void succeed() noexcept
    {
        failures_ = 0;
        open_ = false;
        probing_ = false;
        backoff_.succeed();
    }

    /// Records that a request was granted; at an open breaker, that request is the probe.
    void granted() noexcept
    {
        probing_ = open_;
    }

    /// Records that a request ended with neither success nor failure; an open breaker
    /// then allows another probe.
    void inconclusive() noexcept
    {
        probing_ = false;
    }

    /// Whether a request may be granted now.
    [[nodiscard]] bool allows(time_point now) const noexcept
    {
        return !open_ || (!probing_ && now >= backoff_.not_before());
    }

    /// Whether all requests but probes are blocked.
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
    // Consecutive failures
    std::uint32_t failures_ = 0;
    // Whether all requests but probes are blocked
    bool open_ = false;
    // Whether a probe is in flight
    bool probing_ = false;
    // Back-off between probes
    exponential_backoff backoff_;
};

} // namespace marjorampath
