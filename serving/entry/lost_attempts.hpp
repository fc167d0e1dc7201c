#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/suspect/suspect_registry.hpp>

#include <deque>

namespace marjorampath::serving
{

/// Attempts whose connection broke, kept until it is known whether their endpoint
/// crashed.
///
/// A connection can break for many reasons. Requests become suspects only if service
/// discovery shows within seconds that the endpoint's process ended.
class lost_attempts
{
public:
    /// Time for which an attempt is kept: longer than a crashed endpoint stays listed and
    /// needs to restart.
    static constexpr duration retention = std::chrono::seconds(8);

    /// Keeps an attempt whose connection broke.
    void add(request_id attempt, time_point now)
    {
        kept_.push_back({attempt, now + retention});
    }

    /// Ends attempts in `suspects` whose endpoint has not crashed within `retention`.
    void expire(suspect_registry& suspects, time_point now)
    {
        while (!kept_.empty() && kept_.front().expires_at <= now)
        {
            suspects.on_end(kept_.front().attempt, false);
            kept_.pop_front();
        }
    }

private:
    struct kept_attempt
    {
        request_id attempt;
        // When it is ended
        time_point expires_at;
    };

    // Attempts in the order in which their connections broke
    std::deque<kept_attempt> kept_;
};

} // namespace marjorampath::serving
