#pragma once

#include <marjorampath/cell/cell.hpp>
#include <marjorampath/limits/load_permits.hpp>
#include <marjorampath/limits/team_share.hpp>
#include <marjorampath/placement/pending_request.hpp>
#include <marjorampath/placement/residency.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace marjorampath
{

/// Orders waiting requests by the latest time at which starting them makes sense.
struct expiry_order
{
    /// Whether one request expires before another.
    bool operator()(pending_request const* left,
                    pending_request const* right) const noexcept
    {
        if (left->latest_start != right->latest_start)
            return left->latest_start < right->latest_start;
        return left->sequence < right->sequence;
    }
};

/// Why a request cannot wait.
struct refusal
{
    /// Reason.
    error_kind reason = error_kind::none;
    /// Time after which asking again is worthwhile.
    duration retry_after{0};
};

/// What a cell holds and how it decides. `cell` is its interface.
struct cell_state
{
    /// Makes an empty cell.
    explicit cell_state(cell_options const& chosen);

    // Requests: cell_requests.cpp

    /// Grants, queues or refuses a new request.
    void request(grant_request const& asked, time_point now, cell_actions& out);
    /// Whether a request that found no room must be refused.
    std::optional<refusal> judge(pending_request const& request, time_point now) const;
    /// Expected time until the adapter of a request is loaded.
    duration load_wait(pending_request const& request, time_point now) const;
    /// Expected time until running requests make room.
    duration capacity_wait(pending_request const& request) const;
    /// Adds a request to the queue of its adapter.
    void enqueue(pending_request& request);
    /// Takes a request from the queue of its adapter.
    void dequeue(pending_request& request);
    /// Answers a request that does not run and forgets it.
    void refuse(pending_request& request, refusal why, cell_actions& out);
    /// Refuses all that wait for an adapter.
    void refuse_queue(adapter_state& adapter, refusal why, cell_actions& out);
    /// Refuses a queued request of the team furthest above its share, where that is not
    /// the team given; returns whether it did.
    bool shed_longest_queue(kind_state const& kind, team_share const& team,
                            cell_actions& out);
    /// Refuses what can no longer finish in time.
    void expire(time_point now, cell_actions& out);
    /// Forgets a request that is neither queued nor granted.
    void forget(pending_request& request);
    /// The share of a team of the endpoints of a kind, made where it is unknown.
    team_share& team(kind_state const& kind, team_id id);

    // Grants: cell_grants.cpp

    /// The best endpoint with room for a request, or null.
    endpoint_state* choose_endpoint(pending_request const& request, time_point now) const;
    /// How well an endpoint suits a request; higher is better.
    double endpoint_score(endpoint_state const& endpoint,
                          pending_request const& request) const;
    /// Grants a request at an endpoint.
    void grant(pending_request& request, endpoint_state& endpoint, time_point now,
               cell_actions& out);
    /// The waiting request that an endpoint should run next, or null.
    pending_request* next_queued(endpoint_state& endpoint) const;
    /// Grants waiting requests at an endpoint while it has room.
    void fill(endpoint_state& endpoint, time_point now, cell_actions& out);
    /// Notes that a granted request no longer runs.
    void release(release_report const& report, time_point now, cell_actions& out);
    /// Takes a granted request off its endpoint and forgets it.
    void remove_grant(pending_request& request, time_point now);
    /// Corrects what the team was charged, and learns from the run.
    void account(pending_request& request, release_report const& report, time_point now);
    /// Notes what a release says about the endpoint.
    void rate(endpoint_state& endpoint, release_reason reason, time_point now);
    /// Stops or resumes granting at the copies of an endpoint.
    void set_suspended(endpoint_state& endpoint, bool grants_suspended, time_point now);
    /// Lets endpoints whose pause is over have a probe.
    void resume_ejected(time_point now, cell_actions& out);

    // Requests that run alone: cell_alone.cpp

    /// Reserves endpoints for requests that must run alone, and grants them.
    void schedule_isolated(kind_state& kind, time_point now, cell_actions& out);
    /// Grants the request that an endpoint is reserved for, once it is free.
    void start_isolated(endpoint_state& endpoint, time_point now, cell_actions& out);
    /// Gives up the reservation of a request.
    void cancel_reservation(pending_request& request, time_point now, cell_actions& out);

    // Loads: cell_loads.cpp

    /// Puts an adapter on the list of those that want a load, or takes it off.
    void update_awaiting_load(adapter_state& adapter);
    /// Starts loads while permits last, those whose wait costs most first.
    void plan_loads(time_point now, cell_actions& out);
    /// How much it costs to let an adapter wait.
    double wait_cost(adapter_state const& adapter, time_point now) const;
    /// Grants again at a copy that was to be evicted; returns whether there was one.
    bool revive(adapter_state& adapter, time_point now, cell_actions& out);
    /// Starts a load of an adapter where it costs least; returns whether it could.
    bool start_load(adapter_state& adapter, time_point now, cell_actions& out);
    /// Starts a load at an endpoint, in a free slot or in that of `victim`.
    void order_load(adapter_state& adapter, endpoint_state& endpoint,
                    adapter_state* victim, time_point now, cell_actions& out);
    /// Prepares the copy that is asked for least for its eviction, where none can be
    /// evicted otherwise.
    void drain_for_eviction(kind_state& kind, time_point now);
    /// Notes that a load ended.
    void load_finished(endpoint_state& endpoint, adapter_state& adapter, error_kind error,
                       time_point now, cell_actions& out);
    /// Notes that an unload ended, and starts the load that follows it.
    void unload_finished(endpoint_state& endpoint, adapter_state& adapter,
                         error_kind error, time_point now, cell_actions& out);
    /// Notes that a load has failed.
    void load_failed(adapter_state& adapter, time_point now, cell_actions& out);

    // Endpoints: cell_endpoints.cpp

    /// Takes over a report.
    void report(endpoint_report const& report, time_point now, cell_actions& out);
    /// Forgets all that ran at or was held by an endpoint that restarted or is gone.
    void clear_endpoint(endpoint_state& endpoint, time_point now);
    /// Compares the copies of an endpoint with its report.
    void reconcile(endpoint_state& endpoint, endpoint_report const& report,
                   time_point now);
    /// Removes a copy and notes that its adapter may want a load.
    void drop_copy(endpoint_state& endpoint, adapter_state& adapter, time_point now);
    /// Refuses what no endpoint of a kind can run.
    void refuse_unservable(kind_state& kind, time_point now, cell_actions& out);
    /// An endpoint is no longer listed.
    void gone(endpoint_state& endpoint, time_point now, cell_actions& out);
    /// Forgets an endpoint that is not listed any more and has no grants.
    void sweep(endpoint_state& endpoint);
    /// Takes over a grant of an earlier owner.
    void registered(grant_registration const& grant, time_point now);
    /// All that follows once an event was noted.
    void settle(time_point now, cell_actions& out);

    // Policy and bounds
    cell_options options;
    // Endpoints, adapters and their indices
    residency placement;
    // The store's rate
    load_permits permits;
    // Jitter
    std::mt19937_64 random;
    // Requests that wait or run
    std::unordered_map<request_id, pending_request> requests;
    // Teams that ever asked, by the combined hash of kind and team
    std::unordered_map<std::uint64_t, team_share> teams;
    // Waiting requests by the latest time at which starting them makes sense
    std::set<pending_request*, expiry_order> expiries;
    // Adapters that want a load
    std::vector<adapter_state*> wanted;
    // Kinds with requests that must run alone
    std::vector<kind_state*> kinds_with_isolated;
    // Times at which a pause after a failure ends
    std::multiset<time_point> pauses;
    // Time of the next load permit, where one is waited for
    std::optional<time_point> next_permit;
    // Number of the latest planning round
    std::uint64_t planning_round = 0;
    // Number of the next request
    std::uint64_t next_sequence = 1;
    // Whether orders may be given
    bool orders_allowed = true;
    // Whether adapters may be evicted
    bool eviction_allowed = true;
    // Counts for metrics
    cell_counts counts;
};

} // namespace marjorampath
