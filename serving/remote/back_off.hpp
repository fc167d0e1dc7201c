#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace marjorampath::serving
{

/// Delays before retries. The step doubles up to a maximum, and each delay is drawn at
/// random from the upper half of the step, so that many clients do not retry at the same
/// time.
class back_off
{
public:
    /// Options of a back_off.
    struct options
    {
        /// The first step.
        std::chrono::milliseconds first{200};
        /// The largest step.
        std::chrono::milliseconds largest{5000};
        /// Seed of the random numbers.
        std::uint64_t seed = 1;
    };

    /// Starts at the first step.
    explicit back_off(options values)
        : options_(values), random_(values.seed), step_(values.first)
    {
    }

    /// The delay before the next retry; at most the largest step.
    std::chrono::milliseconds next()
    {
        boost::random::uniform_int_distribution<std::int64_t> draw(step_.count() / 2,
                                                                   step_.count());
        std::chrono::milliseconds const delay(draw(random_));
        step_ = std::min(step_ * 2, options_.largest);
        return delay;
    }

    /// Returns to the first step; called after a success.
    void reset()
    {
        step_ = options_.first;
    }

private:
    options options_;
    // Random number generator of the delays
    boost::random::mt19937_64 random_;
    // Upper end of the next delay
    std::chrono::milliseconds step_;
};

} // namespace marjorampath::serving
