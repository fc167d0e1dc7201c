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

/// What one team has queued and used, for start-time fair queueing by weight.
struct team_share
{
    /// The team.
    team_id id;
    /// Kind of the endpoints that it shares.
    kind_state const* kind = nullptr;
    /// Weight of the fair share, at least 1.
    double weight = 1;
    /// Service received so far divided by the weight, in seconds; never behind that of
    /// the team served last when the team becomes busy.
    double virtual_time = 0;
    /// Number of queued requests.
    std::size_t queued = 0;
    /// The queued requests; the last one is the first to give way.
    std::set<pending_request*, request_order> waiting;
    /// Expected seconds of service that is queued, by priority.
    std::map<std::int32_t, double, std::greater<>> queued_seconds;
    /// Repeated attempts that are allowed.
    token_bucket retries{0, 0};

    /// Expected seconds of service that is queued at a priority or above it.
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
