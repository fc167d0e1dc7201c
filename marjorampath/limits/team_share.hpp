#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/limits/request_order.hpp>
#include <marjorampath/limits/token_bucket.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace marjorampath
{

struct kind_state;

/// State of one team in weighted start-time fair queueing.
struct team_share
{
    /// The team.
    team_id id;
    /// Kind of the endpoints that it uses.
    kind_state const* kind = nullptr;
    /// Weight of the fair share, at least 1.
    double weight = 1;
    /// Service received so far divided by the weight, in seconds. When the team becomes
    /// busy, its virtual time is raised to at least that of the team served last.
    double virtual_time = 0;
    /// Number of queued requests, equal to the size of `waiting`.
    std::size_t queued = 0;
    /// The queued requests; the last one is the first to be dropped.
    std::set<pending_request*, request_order> waiting;
    /// Expected service time of the queued requests in seconds, by priority.
    std::map<std::int32_t, double, std::greater<>> queued_seconds;
    /// Tokens for retries.
    token_bucket retries{0, 0};

    /// Expected service time in seconds of the requests queued at `priority` or higher; a
    /// larger number is more urgent, unlike in `route::priority`.
    [[nodiscard]] double seconds_ahead(std::int32_t priority) const
    {
        double sum = 0;
        for (auto const& [level, seconds] : queued_seconds)
            if (level >= priority)
                sum += seconds;
        return sum;
    }
};

} // namespace marjorampath
