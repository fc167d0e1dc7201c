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

/// Orders queued requests by `latest_start`, then by arrival.
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

/// Why a request is refused.
struct refusal
{
    /// Reason.
    error_kind reason = error_kind::none;
    /// Time after which the caller may retry.
    duration retry_after{0};
};

/// State and decisions of a cell; `cell` is its public interface.
struct cell_state
{
    /// Makes an empty cell.
    explicit cell_state(cell_options const& chosen);

    // Requests: cell_requests.cpp

    /// Grants, queues or refuses a new request.
    void request(grant_request const& received, time_point now, cell_actions& out);
    /// Whether a request that cannot be granted now must be refused instead of queued;
    /// returns the refusal, or nothing where the request may wait.
    std::optional<refusal> check_admission(pending_request const& request,
                                           time_point now) const;
    /// Expected time until the adapter of a request is loaded.
    duration load_wait(pending_request const& request, time_point now) const;
    /// Expected time until enough running requests have ended for this one to start.
    duration capacity_wait(pending_request const& request) const;
    /// Adds a request to the queue of its adapter or, if isolated, of its kind.
    void enqueue(pending_request& request);
    /// Removes a request from the queue that `enqueue` added it to.
    void dequeue(pending_request& request);
    /// Refuses a request that is in no queue and erases it.
    void refuse(pending_request& request, refusal why, cell_actions& out);
    /// Refuses all queued requests of an adapter except isolated ones.
    void refuse_queue(adapter_state& adapter, refusal why, cell_actions& out);
    /// Finds the team with the most queued requests per unit of weight. If it has over 1
    /// more per unit than `team` and its last request has no reserved endpoint, refuses
    /// that request and returns true.
    bool shed_longest_queue(kind_state const& kind, team_share const& team,
                            cell_actions& out);
    /// Refuses queued requests that can no longer finish before their deadline.
    void refuse_expired(time_point now, cell_actions& out);
    /// Erases a request that is neither queued nor granted.
    void erase_request(pending_request& request);
    /// The share of a team in the endpoints of a kind; added if it is unknown.
    team_share& team(kind_state const& kind, team_id id);

    // Grants: cell_grants.cpp

    /// The best endpoint with capacity for a request, or null.
    endpoint_state* choose_endpoint(pending_request const& request, time_point now) const;
    /// How well an endpoint suits a request; higher is better.
    double endpoint_score(endpoint_state const& endpoint,
                          pending_request const& request) const;
    /// Grants a request at an endpoint.
    void grant(pending_request& request, endpoint_state& endpoint, time_point now,
               cell_actions& out);
    /// The queued request that an endpoint should run next, or null.
    pending_request* next_queued(endpoint_state& endpoint) const;
    /// Grants queued requests at an endpoint while it has capacity.
    void grant_queued(endpoint_state& endpoint, time_point now, cell_actions& out);
    /// Handles the end of a granted request.
    void release(release_report const& report, time_point now, cell_actions& out);
    /// Removes a granted request from its endpoint and erases it.
    void remove_grant(pending_request& request, time_point now);
    /// Corrects the team's charge to the measured time and updates the service estimate.
    void record_run(pending_request& request, release_report const& report,
                    time_point now);
    /// Updates the endpoint's circuit breaker from a release.
    void update_breaker(endpoint_state& endpoint, release_reason reason, time_point now);
    /// Stops or resumes grants for the adapter copies of an endpoint.
    void set_suspended(endpoint_state& endpoint, bool grants_suspended, time_point now);
    /// Allows a probe request at ejected endpoints whose ejection time is over.
    void resume_ejected(time_point now, cell_actions& out);

    // Isolated requests, which run alone on an endpoint: cell_isolated.cpp

    /// Reserves an endpoint for the next isolated request of a kind, or tries to start
    /// the request that already has an endpoint reserved.
    void schedule_isolated(kind_state& kind, time_point now, cell_actions& out);
    /// Grants the request that an endpoint is reserved for, once nothing else runs there;
    /// loads its adapter first where that is missing.
    void start_isolated(endpoint_state& endpoint, time_point now, cell_actions& out);
    /// Cancels the endpoint reservation of a request, if it has one.
    void cancel_reservation(pending_request& request, time_point now, cell_actions& out);

    // Loads: cell_loads.cpp

    /// Adds an adapter to or removes it from the list of adapters that await a load.
    void update_awaiting_load(adapter_state& adapter);
    /// Starts loads while permits last, in order of decreasing `wait_cost`.
    void plan_loads(time_point now, cell_actions& out);
    /// Priority of loading an adapter, by the number and age of its queued requests.
    double wait_cost(adapter_state const& adapter, time_point now) const;
    /// Returns a draining copy of an adapter to service; returns whether there was one.
    bool reuse_draining_copy(adapter_state& adapter, time_point now, cell_actions& out);
    /// Starts a load of an adapter at the engine with the best score; returns false where
    /// no engine can take it.
    bool start_load(adapter_state& adapter, time_point now, cell_actions& out);
    /// Starts a load at an endpoint, in a free adapter slot, or in that of `victim` after
    /// its unload.
    void order_load(adapter_state& adapter, endpoint_state& endpoint,
                    adapter_state* victim, time_point now, cell_actions& out);
    /// Prepares the copy with the least demand for eviction when no copy is evictable, at
    /// most once per drain interval.
    void drain_for_eviction(kind_state& kind, time_point now);
    /// Handles the result of a load order.
    void load_finished(endpoint_state& endpoint, adapter_state& adapter, error_kind error,
                       time_point now, cell_actions& out);
    /// Handles the result of an unload order and starts the load that follows it.
    void unload_finished(endpoint_state& endpoint, adapter_state& adapter,
                         error_kind error, time_point now, cell_actions& out);
    /// Starts the back-off of an adapter and, if no copy is resident or loading, refuses
    /// requests from the head of its queue until one can wait for the end of the
    /// back-off.
    void load_failed(adapter_state& adapter, time_point now, cell_actions& out);

    // Endpoints: cell_endpoints.cpp

    /// Applies an endpoint's report.
    void apply_report(endpoint_report const& report, time_point now, cell_actions& out);
    /// Clears the runs and adapter copies of an endpoint that restarted or was removed.
    void clear_endpoint(endpoint_state& endpoint, time_point now);
    /// Adds and removes adapter copies so that they match the endpoint's report.
    void reconcile(endpoint_state& endpoint, endpoint_report const& report,
                   time_point now);
    /// Removes a copy; its adapter may then need a load.
    void drop_copy(endpoint_state& endpoint, adapter_state& adapter, time_point now);
    /// Refuses all queued requests of a kind that has no usable endpoint.
    void refuse_unservable(kind_state& kind, time_point now, cell_actions& out);
    /// Handles the removal of an endpoint from the list.
    void remove_endpoint(endpoint_state& endpoint, time_point now, cell_actions& out);
    /// Erases an endpoint that is no longer listed and has neither grants nor copies.
    void erase_if_unused(endpoint_state& endpoint);
    /// Adds a grant that an earlier owner gave.
    void register_grant(grant_registration const& grant, time_point now);
    /// Makes the decisions that follow an event: expiry, loads and isolated requests.
    void make_decisions(time_point now, cell_actions& out);

    // Policy and limits
    cell_options options;
    // Endpoints and adapters, with their indices
    residency placement;
    // Limits the rate and number of loads from the weight store
    load_permits permits;
    // Source of jitter
    std::mt19937_64 random;
    // Queued and granted requests
    std::unordered_map<request_id, pending_request> requests;
    // Teams that have sent a request, by the combined hash of kind and team; never erased
    std::unordered_map<std::uint64_t, team_share> teams;
    // Queued requests by latest start
    std::set<pending_request*, expiry_order> expiries;
    // Adapters that await a load
    std::vector<adapter_state*> awaiting_load;
    // Kinds with queued isolated requests
    std::vector<kind_state*> kinds_with_isolated;
    // Times at which a load back-off or an ejection ends
    std::multiset<time_point> backoff_ends;
    // Time of the next load permit, if a load awaits one
    std::optional<time_point> next_permit;
    // Number of the latest planning round
    std::uint64_t planning_round = 0;
    // Number of the next request
    std::uint64_t next_sequence = 1;
    // Whether load and unload orders may be given
    bool orders_allowed = true;
    // Whether adapters may be evicted
    bool eviction_allowed = true;
    // Counts for metrics
    cell_counts counts;
};

} // namespace marjorampath
