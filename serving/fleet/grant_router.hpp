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

/// How grant requests find the owner of the cell.
struct grant_router_options
{
    /// This host.
    host_id self;
    /// The cell.
    resource_id cell;
    /// Longest time for which a request waits while no owner is known or reached; then it
    /// is refused as `owner_unreachable`.
    duration owner_wait = std::chrono::seconds(5);
    /// Time between two looks for an owner.
    duration retry_interval = std::chrono::milliseconds(50);
    /// Largest number of requests that are under way.
    std::size_t max_requests = 16'384;
    /// Largest number of releases that wait for an acknowledgement.
    std::size_t max_releases = 65'536;
};

/// The entry host's side of grants: sends each request of this host's callers to the
/// owner of the cell, which may be this host, and keeps what was granted, so that a new
/// owner learns of it. Used on the control thread only.
///
/// Each question has a number of its own, so that a late answer or release cannot be
/// taken for that of another try. A grant that comes too late is released; until its
/// request is sent nothing ran.
class grant_router
{
public:
    /// Joins the router, the cell of this host and the way to others, which outlive it.
    grant_router(grant_router_options options, lease_holder& holder, grant_service& local,
                 fleet_peers& peers);

    /// The router as the service that traffic threads ask.
    grant_service as_service();

    /// Serves the questions and releases of other hosts, and recalls of new owners.
    /// `incarnation` tells the incarnation of this process.
    void serve(node_service& service, std::function<std::uint64_t()> incarnation);

    /// Answers the recall of a new owner, which may be this host.
    std::optional<grant_list> on_recall(grant_recall const& recall,
                                        std::uint64_t incarnation);

    /// This host owns the cell under a number; grants of its cell carry it.
    void set_number(std::uint64_t number) noexcept
    {
        number_ = number;
    }

    /// Asks again for requests that wait, and sends releases again. To be called at least
    /// every 50 ms.
    void on_tick();

private:
    // A request of this host's callers that has no answer yet
    struct waiting_request
    {
        // The question as the traffic thread put it
        grant_request question;
        // Who waits for the answer
        grant_callback answer;
        // Number of the question under way; empty while it waits
        request_id asked;
        // Host that was asked
        host_id owner;
        // Call to that host
        call_number call = 0;
        // Time at which it is refused
        time_point refuse_at;
        // Time of the next try
        time_point retry_at;
    };

    // A request that runs under a grant
    struct running_request
    {
        // Number under which the owner knows it
        request_id asked;
        // Owner that granted it
        host_id owner;
    };

    // A release that the owner has not acknowledged
    struct unsent_release
    {
        // The report
        release_report report;
        // Owner that granted the request
        host_id owner;
    };

    // Takes a request of a traffic thread
    void request(grant_request const& question, grant_callback answer);

    // Takes a release of a traffic thread
    void release(release_report const& report);

    // A traffic thread gave up on a request
    void withdraw(request_id request);

    // Asks the owner, or waits where there is none
    void ask(waiting_request& waiting);

    // Asks the cell of this host
    void ask_here(waiting_request& waiting);

    // The decision of this host's cell as a reply that carries the owner's number
    [[nodiscard]] cell_grant_reply make_reply(request_id asked,
                                              grant_reply const& decided) const;

    // Asks another host
    void ask_there(waiting_request& waiting);

    // Takes the owner's decision
    void take(request_id original, request_id asked, cell_grant_reply const& reply);

    // Notes a grant and answers, or releases the grant and asks again
    void take_grant(waiting_request& waiting, std::uint64_t number, endpoint_id endpoint);

    // The owner did not decide; the request is asked for again
    void wait(waiting_request& waiting);

    // Ends a request with an answer
    void finish(request_id original, grant_reply const& reply);

    // Releases a grant at the owner that gave it
    void send_release(release_report const& report, host_id owner);

    // Answers the question of another host by the cell of this host
    void answer_peer(cell_grant_request const& question,
                     reply_function<cell_grant_reply> const& reply);

    // Options
    grant_router_options options_;
    // Knows the owner
    lease_holder& holder_;
    // The cell of this host
    grant_service& local_;
    // Way to other hosts
    fleet_peers& peers_;
    // Grants that this host's callers run under
    grant_registry registry_;
    // Requests without an answer
    std::unordered_map<request_id, waiting_request> waiting_;
    // Requests that run
    std::unordered_map<request_id, running_request> running_;
    // Releases that are sent again
    std::deque<unsent_release> releases_;
    // Fencing number of this host's latest lease on the cell
    std::uint64_t number_ = 0;
    // Questions put so far
    std::uint64_t questions_ = 0;
};

} // namespace marjorampath::serving
