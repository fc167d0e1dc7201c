#pragma once

#include <marjorampath/limits/request_order.hpp>
#include <marjorampath/placement/pending_request.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace marjorampath
{

/// The requests queued for one adapter, with one queue per team.
class request_queue
{
public:
    /// Adds a request.
    void add(pending_request* request);

    /// Removes a request that is in the queue.
    void remove(pending_request* request);

    /// The request to run next, which is the first of the team with the least virtual
    /// time; null if the queue is empty.
    [[nodiscard]] pending_request* first() const noexcept;

    /// The earliest arrival among the first requests of the teams, or null. A team's
    /// first request is the one of highest priority, so an older one may be queued behind
    /// it.
    [[nodiscard]] pending_request const* oldest() const noexcept;

    /// Number of requests.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_;
    }

    /// Whether no request is queued.
    [[nodiscard]] bool empty() const noexcept
    {
        return size_ == 0;
    }

    /// Total expected service time of the queued requests in seconds.
    [[nodiscard]] double service_seconds() const noexcept
    {
        return service_seconds_;
    }

private:
    using team_queue = std::set<pending_request*, request_order>;

    // Queues by team; none is empty
    std::vector<team_queue> teams_;
    // Number of requests
    std::size_t size_ = 0;
    // Total expected service time in seconds
    double service_seconds_ = 0;
};

} // namespace marjorampath
