#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/suspect/suspect_registry.hpp>

#include <deque>

namespace marjorampath::serving
{

/// Attempts whose connection broke, until it is known whether their endpoint died.
///
/// A connection breaks for many reasons; only where service discovery shows within some
/// seconds that the endpoint's process ended do its requests become suspects.
class lost_attempts
{
public:
    /// Time for which an attempt is kept: longer than a dead endpoint stays listed and
    /// takes to start again.
    static constexpr duration memory = std::chrono::seconds(8);

    /// Keeps an attempt that broke.
    void add(request_id attempt, time_point now)
    {
        kept_.push_back({attempt, now + memory});
    }

    /// Ends the attempts whose endpoint lives.
    void expire(suspect_registry& suspects, time_point now)
    {
        while (!kept_.empty() && kept_.front().until <= now)
        {
            suspects.on_end(kept_.front().attempt, false);
            kept_.pop_front();
        }
    }

private:
    // One attempt
    struct kept_attempt
    {
        // The attempt
        request_id attempt;
        // Until when it is kept
        time_point until;
    };

    // Attempts in the order in which they broke
    std::deque<kept_attempt> kept_;
};

} // namespace marjorampath::serving
