#pragma once

#include <marjorampath/limits/request_order.hpp>
#include <marjorampath/placement/pending_request.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace marjorampath
{

/// The requests that wait for one adapter, in one queue a team.
class request_queue
{
public:
    /// Adds a request.
    void add(pending_request* request);

    /// Removes a request that is in the queue.
    void remove(pending_request* request);

    /// The request to serve next, the first one of the team with the least virtual time;
    /// null where none waits.
    [[nodiscard]] pending_request* first() const noexcept;

    /// The request that arrived first, or null.
    [[nodiscard]] pending_request const* oldest() const noexcept;

    /// Number of requests.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_;
    }

    /// Whether no request waits.
    [[nodiscard]] bool empty() const noexcept
    {
        return size_ == 0;
    }

    /// Expected seconds of service that wait.
    [[nodiscard]] double seconds() const noexcept
    {
        return seconds_;
    }

private:
    using team_queue = std::set<pending_request*, request_order>;

    // Queues of teams that have requests here
    std::vector<team_queue> teams_;
    // Number of requests
    std::size_t size_ = 0;
    // Expected seconds of service
    double seconds_ = 0;
};

} // namespace marjorampath
