#pragma once

#include <marjorampath/deployment/deployment.hpp>
#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/dispatch/attempt_end.hpp>
#include <marjorampath/dispatch/call.hpp>
#include <marjorampath/dispatch/dispatch_decision.hpp>
#include <marjorampath/dispatch/dispatch_options.hpp>
#include <marjorampath/dispatch/endpoint_view.hpp>
#include <marjorampath/peer/endpoint_usage.hpp>
#include <marjorampath/peer/engine_status.hpp>
#include <marjorampath/peer/load_messages.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace marjorampath
{

/// Decides on one host which endpoint runs a request, whether the request waits for an
/// adapter, and when it is refused.
///
/// Designed for many adapters of very uneven popularity on few engines, with bursts of
/// requests. A request goes to the engine with the earliest expected first token,
/// estimated from the prompt tokens that wait there. A load of an adapter that no engine
/// holds is requested from the lease holder of the engine with the shortest queue. A
/// request to an engine that needs no new load, but would wait for a multiple of its
/// objective, is refused before it joins the queue.
class dispatcher
{
public:
    /// Constructs a dispatcher without endpoints for a host in `zone`.
    dispatcher(zone_id zone, dispatch_options options);

    /// Replaces the services by those of a deployment.
    void set_services(std::vector<service_definition> const& services);

    /// Sets the time between a lease holder's reports, which grows with the fleet.
    void set_status_interval(duration interval);

    /// Processes a change to the endpoint catalog.
    void on_endpoint(endpoint_event const& event, time_point now);

    /// Processes a lease holder's report on an engine.
    void on_status(engine_status const& status, time_point now);

    /// Sets the number of requests that all other hosts have in flight at a plain
    /// endpoint.
    void on_others_in_flight(endpoint_id endpoint, std::uint32_t in_flight);

    /// Notes an announced adapter version; engines whose version
    /// is known to be older are no longer used. An unknown version counts as usable.
    void on_version(std::string const& adapter, std::uint64_t version);

    /// Sets the limit on the rate of requests from all hosts to an endpoint, in requests
    /// per second; empty for none.
    void set_rate_limit(endpoint_id endpoint, std::optional<double> limit);

    /// Notes that no permit for a request to a limited endpoint can be had before a time.
    void on_permit_refused(endpoint_id endpoint, time_point until);

    /// Notes that the process of an endpoint that started at `started_at_ms` wants no
    /// request from this host before a time.
    void on_pause_requested(endpoint_id endpoint, std::uint64_t started_at_ms,
                            time_point until);

    /// Decides the next step for a request. Endpoints in `tried` are not used again.
    dispatch_decision decide(call const& request, std::span<endpoint_id const> tried,
                             time_point now);

    /// Notes that a request is being sent to an endpoint.
    void on_sent(call const& request, endpoint_id endpoint, time_point now);

    /// Notes the first event of a streamed answer.
    void on_first_event(call const& request, endpoint_id endpoint);

    /// Notes the end of an attempt. `begun` is whether `on_first_event` was called for
    /// it.
    void on_ended(call const& request, endpoint_id endpoint, attempt_end end, bool begun,
                  time_point now);

    /// Processes the reply to a load request.
    void on_load_reply(load_reply const& reply, time_point now);

    /// Returns this host's requests in flight at an endpoint and resets the counts of
    /// sent requests; empty if the endpoint is unknown.
    std::optional<endpoint_usage> take_usage(endpoint_id endpoint, time_point now);

    /// Returns the state of an endpoint, or null if it is unknown.
    [[nodiscard]] endpoint_view const* find(endpoint_id endpoint) const;

    /// Returns the lowest version that a request for an adapter may run on; zero for any.
    [[nodiscard]] std::uint64_t required_version(std::string const& adapter) const;

    /// Whether no endpoint is known.
    [[nodiscard]] bool empty() const noexcept
    {
        return endpoints_.empty();
    }

    /// Number of a service's endpoints that are neither draining nor ejected.
    [[nodiscard]] std::size_t usable_endpoints(service_id service, time_point now) const;

private:
    /// One endpoint that could run a request.
    struct candidate
    {
        endpoint_view* view = nullptr;
        // Expected time to the first byte
        duration expected{0};
        // Cost of stalling the streams that run there
        duration stall_cost{0};
        // Rendezvous weight: tie breaker that makes all hosts prefer the same endpoint.
        // The smaller is preferred for a plain service, the larger for loading an adapter
        std::uint64_t rank = 0;

        // Value by which endpoints are compared
        [[nodiscard]] duration cost() const
        {
            return expected + stall_cost;
        }
    };

    // Limit on the request rate of an endpoint
    struct rate_limit_state
    {
        // Requests per second
        double rate = 0;
        // Before this time no permit for a request can be had
        time_point next_permit_at{};
    };

    // Engines that hold the requested model
    struct model_choice
    {
        // The best of those that hold its adapter or are loading it; unset if there is
        // none
        std::optional<candidate> best;
        // Those without the adapter or with an older version
        std::vector<candidate> absent;
    };

    // Endpoints of the service that are not draining, ejected or tried already
    std::vector<candidate> find_candidates(call const& request,
                                           std::span<endpoint_id const> tried,
                                           time_point now);

    // Time until which an endpoint gets no request from this host, because it asked for a
    // pause or no permit can be had
    [[nodiscard]] time_point held_until(endpoint_id endpoint,
                                        endpoint_view const& view) const;

    // Retry delay for a caller for whose request no endpoint was found: the time until
    // the first permit, if endpoints have reached their limit
    [[nodiscard]] duration no_endpoint_retry_pause(service_id service,
                                                   time_point now) const;

    // Expected time until a new request gets a permit for an endpoint
    [[nodiscard]] duration permit_interval(endpoint_id endpoint) const;

    // Decides the next step for a request to a plain service
    dispatch_decision decide_plain(call const& request, std::vector<candidate> found,
                                   time_point now);

    // Whether `left` is preferred to `right`
    [[nodiscard]] static bool is_better(call const& request, candidate const& left,
                                        candidate const& right);
    // Computes the cost of each engine and separates those without the adapter
    model_choice evaluate_engines(call const& request, std::vector<candidate> found,
                                  time_point now) const;
    // Proposes a load at another engine if that shortens the wait of later requests
    std::optional<proposed_load> propose_replica(call const& request,
                                                 candidate const& best,
                                                 candidate const* target, time_point now);
    // Decides the next step for a request to a model service
    dispatch_decision decide_model(call const& request, std::vector<candidate> found,
                                   time_point now);

    // Decides the next step if no engine has the adapter, or the model: waits for a load
    // or refuses
    dispatch_decision wait_for_load(call const& request, candidate const* target,
                                    time_point now);

    // Earliest deadline of a reply to a pending load request for the request's adapter
    [[nodiscard]] std::optional<time_point> pending_load_deadline(call const& request,
                                                                  time_point now) const;

    // Whether a load of the request's adapter is pending or running at any engine
    [[nodiscard]] bool is_loading(call const& request, time_point now) const;

    // Whether a request whose adapter no engine can load now should wait for a slot and
    // be decided again
    [[nodiscard]] bool should_wait_for_slot(call const& request, time_point now) const;

    // Retry delay for a caller whose adapter cannot be loaded now
    [[nodiscard]] duration load_retry_pause(service_id service, time_point now) const;

    // The engine that should load an adapter, or null if none can
    candidate const* load_target(std::string const& adapter,
                                 std::vector<candidate> const& absent, time_point now);

    // Time until a new request's first token, without processing its own prompt
    [[nodiscard]] duration queue_time(endpoint_view const& view) const;

    // Time to process a prompt at an engine, less the parts that are probably cached
    // there
    [[nodiscard]] duration prefill_time(call const& request, endpoint_view const& view,
                                        time_point now) const;

    // Penalty for recent failures and refusals
    [[nodiscard]] static duration failure_cost(endpoint_view const& view,
                                               duration objective);

    // Penalty for an endpoint that has left a request unanswered for far longer than its
    // queue explains: it may be unresponsive although its health check succeeds
    [[nodiscard]] duration unresponsive_cost(endpoint_view const& view,
                                             duration objective, time_point now) const;

    // Estimated state of an adapter at an engine, or null if it is absent
    [[nodiscard]] static adapter_estimate const*
    find_estimate(endpoint_view const& view, std::string const& adapter);

    // Expected time from which an adapter can be used if its load is reported to take
    // another `ready_in`
    [[nodiscard]] time_point expected_ready_at(time_point now, duration ready_in) const;

    // Reduces the ready margin after a success within the maximum status age after the
    // adapter's `ready_at`
    void note_load_in_time(endpoint_view& view, std::string const& adapter,
                           time_point now);

    // Treats a refusal within `answer_precedence` after the adapter's `ready_at`, which
    // is the time of the last report for a loaded adapter, as a late load: postpones
    // `ready_at` and raises the ready margin. Returns false if the refusal came later or
    // the adapter is unknown
    bool postpone_late_load(endpoint_view& view, std::string const& adapter,
                            time_point now);

    // Makes a refusal with a jittered retry delay
    dispatch_decision refuse(error_kind reason, duration pause);

    // Time by which the prompt backlog at an engine exceeds `stall_free_backlog`
    [[nodiscard]] duration stall_cost(duration backlog) const;

    // Zone of this host
    zone_id zone_;
    dispatch_options options_;
    // Age at which a lease holder's report becomes stale
    duration status_max_age_;
    // Engine capacity of each model service
    std::map<service_id, engine_definition> model_services_;
    std::map<endpoint_id, endpoint_view> endpoints_;
    // Limits in force, by endpoint
    std::map<endpoint_id, rate_limit_state> rate_limits_;
    // Newest announced version by adapter
    std::map<std::string, std::uint64_t> versions_;
    // Added to the expected end of each load; adapts to how often requests are refused
    duration ready_margin_{0};
    // Random source for jitter
    std::minstd_rand random_;
};

} // namespace marjorampath
