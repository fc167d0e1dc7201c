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

/// Decides on one host which endpoint runs a request, whether it waits for an adapter,
/// and when it is refused.
///
/// The load pattern that it answers: many adapters of very uneven popularity on few
/// engines, with bursts. A request goes where its first token is expected soonest, by the
/// prompt tokens that wait there; an adapter that no engine holds is asked for at once at
/// the engine that has most room; a request that would wait for a multiple of its
/// objective is refused before it joins the queue.
class dispatcher
{
public:
    /// Makes a dispatcher that knows no endpoint.
    dispatcher(zone_id zone, dispatch_options options);

    /// Takes the services of a deployment.
    void set_services(std::vector<service_definition> const& services);

    /// Takes the time between two reports of a lease holder, which grows with the fleet.
    void set_status_interval(duration interval);

    /// Takes a change of the catalog.
    void on_endpoint(endpoint_event const& event, time_point now);

    /// Takes a lease holder's report.
    void on_status(engine_status const& status, time_point now);

    /// Takes what all other hosts together have in flight at a plain endpoint.
    void on_others_in_flight(endpoint_id endpoint, std::uint32_t in_flight);

    /// Takes the newest version of an adapter that was announced.
    void on_version(std::string const& adapter, std::uint64_t version);

    /// Decides about a request. `tried` are endpoints not to be used again.
    dispatch_decision decide(call const& request, std::span<endpoint_id const> tried,
                             time_point now);

    /// Notes that a request is being sent to an endpoint.
    void on_sent(call const& request, endpoint_id endpoint, time_point now);

    /// Notes the first event of a stream's answer.
    void on_first_event(call const& request, endpoint_id endpoint);

    /// Notes the end of an attempt. `begun` tells whether `on_first_event` was called.
    void on_ended(call const& request, endpoint_id endpoint, attempt_end end, bool begun,
                  time_point now);

    /// Takes the answer to a load that was asked for.
    void on_load_reply(load_reply const& reply, time_point now);

    /// What this host has in flight at an endpoint; resets the counts of sent requests.
    std::optional<endpoint_usage> take_usage(endpoint_id endpoint, time_point now);

    /// What is known of an endpoint, or null.
    [[nodiscard]] endpoint_view const* find(endpoint_id endpoint) const;

    /// The version that a request for an adapter must run on; zero where any will do.
    [[nodiscard]] std::uint64_t required_version(std::string const& adapter) const;

    /// Whether any endpoint is known.
    [[nodiscard]] bool empty() const noexcept
    {
        return loads_.empty();
    }

    /// Endpoints of a service that take requests.
    [[nodiscard]] std::size_t usable_endpoints(service_id service, time_point now) const;

private:
    /// One endpoint that could run a request.
    struct candidate
    {
        // The endpoint
        endpoint_view* load = nullptr;
        // Expected time to the first byte
        duration expected{0};
        // What the request costs the streams that run there
        duration stall_cost{0};
        // Order of equals, the same on all hosts
        std::uint64_t rank = 0;

        // What endpoints are compared by
        [[nodiscard]] duration cost() const
        {
            return expected + stall_cost;
        }
    };

    // Engines for a request to a model
    struct model_choice
    {
        // The best of those that hold its adapter, or will; not set without any
        std::optional<candidate> best;
        // Those that do not
        std::vector<candidate> absent;
    };

    // Endpoints that may get a request of the service
    std::vector<candidate> usable(call const& request, std::span<endpoint_id const> tried,
                                  time_point now);

    // Decides about a request to a plain service
    dispatch_decision decide_plain(call const& request, std::vector<candidate> found,
                                   time_point now);

    // Whether the left one is to be chosen
    [[nodiscard]] static bool better(call const& request, candidate const& left,
                                     candidate const& right);
    // Rates engines and tells those apart that lack the adapter
    model_choice evaluate_engines(call const& request, std::vector<candidate> found,
                                  time_point now) const;
    // A load at another engine, where it shortens the wait of those who follow
    std::optional<proposed_load> propose_replica(call const& request,
                                                 candidate const& best,
                                                 candidate const* target, time_point now);
    // Decides about a request to a model service
    dispatch_decision decide_model(call const& request, std::vector<candidate> found,
                                   time_point now);

    // Decides where the adapter has to be loaded first
    dispatch_decision wait_for_load(call const& request, candidate const* target,
                                    time_point now);

    // When a load of the request's adapter that was asked for is answered at the latest
    [[nodiscard]] std::optional<time_point> pending_load_deadline(call const& request,
                                                                  time_point now) const;

    // Whether the request's adapter is on its way to an engine
    [[nodiscard]] bool is_loading(call const& request, time_point now) const;

    // Whether it is worth while to wait for an engine that refused a load just now
    [[nodiscard]] bool should_wait_for_slot(call const& request, time_point now) const;

    // When a caller whose adapter cannot be loaded now should come back
    [[nodiscard]] duration load_retry_pause(service_id service, time_point now) const;

    // The engine that should load an adapter, or null where none can
    candidate const* load_target(std::string const& adapter,
                                 std::vector<candidate> const& absent, time_point now);

    // Time until a newcomer's first token, its own prompt excluded
    [[nodiscard]] duration queue_time(endpoint_view const& load) const;

    // Time to read a prompt at an engine, by the parts that are probably cached there
    [[nodiscard]] duration prefill_time(call const& request, endpoint_view const& load,
                                        time_point now) const;

    // Extra time that bad answers of late count
    [[nodiscard]] static duration failure_cost(endpoint_view const& load,
                                               duration objective);

    // Extra time that an endpoint counts which has left a request without any answer for
    // far longer than its queue explains: it may be mute while its health is good
    [[nodiscard]] duration unresponsive_cost(endpoint_view const& load,
                                             duration objective, time_point now) const;

    // Belief in an adapter at an engine, or null where it is absent
    [[nodiscard]] static adapter_estimate const*
    find_estimate(endpoint_view const& load, std::string const& adapter);

    // When an adapter can be used whose load is expected to end in a time
    [[nodiscard]] time_point arrival(time_point now, duration ready_in) const;

    // Takes a success just behind the expected end of a load
    void note_load_in_time(endpoint_view& load, std::string const& adapter,
                           time_point now);

    // Takes a refusal just behind the expected end of a load for a load that lasts longer
    bool postpone_late_load(endpoint_view& load, std::string const& adapter,
                            time_point now);

    // A refusal with a pause that differs between callers
    dispatch_decision refuse(error_kind reason, duration pause);

    // Time by which a newcomer would keep the streams of an engine waiting for too long
    [[nodiscard]] duration stall_cost(duration backlog) const;

    // This host's zone
    zone_id zone_;
    // Settings
    dispatch_options options_;
    // Time after which a lease holder's report is stale
    duration status_max_age_;
    // Engines of each model service, by service
    std::map<service_id, engine_definition> engines_;
    // Endpoints
    std::map<endpoint_id, endpoint_view> loads_;
    // Announced versions by adapter
    std::map<std::string, std::uint64_t> versions_;
    // Added to the expected end of a load; learnt from adapters that were late
    duration ready_margin_{0};
    // Source of jitter
    std::minstd_rand random_;
};

} // namespace marjorampath
