#pragma once

#include <marjorampath/cell/grant_request.hpp>
#include <marjorampath/cell/release_report.hpp>
#include <marjorampath/lease/grant_registry.hpp>
#include <marjorampath/lease/lease_holder.hpp>
#include <serving/fleet/fleet_peers.hpp>
#include <serving/link/node_service.hpp>
#include <serving/node/grant_service.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace marjorampath::serving
{

/// Settings of a `grant_router`.
struct grant_router_options
{
    /// This host.
    host_id self;
    /// The cell.
    resource_id cell;
    /// Longest time that a request is retried while no owner is known or reachable; then
    /// it is refused as `owner_unreachable`.
    duration max_owner_wait = std::chrono::seconds(5);
    /// Time before an attempt without a decision is repeated.
    duration retry_interval = std::chrono::milliseconds(50);
    /// Largest number of requests without an answer; further ones are refused as
    /// `queue_full`.
    std::size_t max_pending_requests = 16'384;
    /// Largest number of failed releases that are kept to be sent again; further ones are
    /// dropped.
    std::size_t max_unacknowledged_releases = 65'536;
};

/// The entry host's side of grants: sends the grant requests of this host's callers to
/// the owner of the cell, which may be this host, and records the grants, so that a new
/// owner can recall them. Used on the control thread only.
///
/// Each attempt has an id of its own, so that a late reply or release is never matched to
/// another attempt. A grant that arrives too late is released; nothing has run under it,
/// since its request was never sent.
class grant_router
{
public:
    /// `holder`, `local`, the grant service of this host's cell, and `peers` outlive this
    /// object.
    grant_router(grant_router_options options, lease_holder& holder, grant_service& local,
                 fleet_peers& peers);

    /// The grant service that traffic threads use.
    grant_service as_service();

    /// Registers the handlers for grant requests and releases of other hosts, and for
    /// recalls by new owners. `incarnation` returns the incarnation of this process.
    void serve(node_service& service, std::function<std::uint64_t()> incarnation);

    /// Answers the recall of a new owner, which may be this host; nothing if a later
    /// owner is known.
    std::optional<grant_list> on_recall(grant_recall const& recall,
                                        std::uint64_t incarnation);

    /// Sets the fencing number of this host's lease on the cell; grant replies carry it.
    void set_fencing_number(std::uint64_t number) noexcept
    {
        fencing_number_ = number;
    }

    /// Repeats attempts that are due, refuses requests that waited too long and repeats
    /// failed releases. Call at least every 50 ms.
    void on_tick();

private:
    // A request of this host's callers that has no answer yet
    struct pending_grant_request
    {
        // The request as the traffic thread made it
        grant_request request;
        // Receives the answer
        grant_callback answer;
        // Id of the current attempt; empty while waiting for the next one
        request_id attempt;
        // Host that the attempt was sent to
        host_id owner;
        // Call to that host; zero for this host's own cell
        call_number call = 0;
        // Time at which the request is refused
        time_point refuse_at;
        // Time of the next attempt
        time_point retry_at;
    };

    // A request that runs under a grant
    struct running_request
    {
        // Id of the attempt that was granted, by which the owner knows the request
        request_id attempt;
        // Owner that granted the request
        host_id owner;
    };

    // A release that the owner has not acknowledged
    struct unacknowledged_release
    {
        release_report report;
        // Owner that the release is sent to
        host_id owner;
    };

    // Starts a grant request of a traffic thread
    void start(grant_request const& request, grant_callback answer);

    // Releases the grant of a traffic thread's request
    void release(release_report const& report);

    // Drops a request that the traffic thread has given up
    void withdraw(request_id request);

    // Starts an attempt at the owner; schedules a retry if none is known
    void send_request(pending_grant_request& pending);

    // Sends an attempt to the cell of this host
    void request_locally(pending_grant_request& pending);

    // The decision of this host's cell as a reply with this host's fencing number
    [[nodiscard]] cell_grant_reply make_reply(request_id attempt,
                                              grant_reply const& decision) const;

    // Sends an attempt to the owner on another host
    void request_remotely(pending_grant_request& pending);

    // Handles the owner's decision on an attempt
    void on_reply(request_id original, request_id attempt, cell_grant_reply const& reply);

    // Records a grant and answers; if a later owner has already recalled this host's
    // grants, releases it and retries
    void accept_grant(pending_grant_request& pending, std::uint64_t number,
                      endpoint_id endpoint);

    // Schedules the next attempt
    void retry_later(pending_grant_request& pending);

    // Answers a request and removes it from the pending ones
    void complete(request_id original, grant_reply const& reply);

    // Sends a release to an owner; on failure keeps it for the next tick
    void send_release(release_report const& report, host_id owner);

    // Has the cell of this host decide the request of another host
    void serve_peer_request(cell_grant_request const& message,
                            reply_function<cell_grant_reply> const& reply);

    grant_router_options options_;
    // Lease state of this host, including the known owner of the cell
    lease_holder& holder_;
    // Grant service of this host's cell
    grant_service& local_;
    // Links to other hosts
    fleet_peers& peers_;
    // Grants under which this host's requests run
    grant_registry registry_;
    // Requests without an answer, by the traffic thread's request id
    std::unordered_map<request_id, pending_grant_request> pending_;
    // Requests that run, by the traffic thread's request id
    std::unordered_map<request_id, running_request> running_;
    // Releases to be sent again
    std::deque<unacknowledged_release> unacknowledged_releases_;
    // Fencing number of this host's latest lease on the cell
    std::uint64_t fencing_number_ = 0;
    // Number of attempts so far
    std::uint64_t attempt_count_ = 0;
};

} // namespace marjorampath::serving
