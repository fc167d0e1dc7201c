#pragma once

#include <marjorampath/adapter_load/engine_report.hpp>
#include <marjorampath/adapter_load/load_planner_options.hpp>
#include <marjorampath/adapter_load/planned_order.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/deployment.hpp>
#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/peer/endpoint_usage.hpp>
#include <marjorampath/peer/engine_status.hpp>
#include <marjorampath/peer/load_messages.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath
{

/// Plans the orders of one host to the engines whose leases it holds: which adapter to
/// load and which one to evict.
///
/// It is designed for a workload in which most adapters are requested rarely and a few
/// all the time, and in which the popular ones change within seconds. It evicts the
/// adapter with the lowest decayed request count, but never one that is in use, whose
/// expected load end is not yet `eviction_grace` ago, or that the engine has not reported
/// as loaded. An engine is never sent more adapters than it has slots for, even if
/// messages are lost or late: after an order without an answer, the adapter counts as
/// occupying its slot until a later report shows otherwise, and each order is only valid
/// for the number of accepted orders that it was planned for.
class load_planner
{
public:
    /// Creates a planner that holds no lease.
    explicit load_planner(load_planner_options options);

    /// Sets the services of the deployment.
    void set_services(std::vector<service_definition> const& services);

    /// Handles a change of the endpoint catalog.
    void on_endpoint(endpoint_event const& event, time_point now);

    /// Handles that this host acquired an engine's lease. `continued` is true if no other
    /// host held it since this host's last order; then no takeover delay is needed.
    void on_lease(endpoint_id endpoint, std::uint64_t fencing_number, bool continued,
                  time_point now);

    /// Handles that this host lost an engine's lease.
    void on_lease_lost(endpoint_id endpoint);

    /// Processes an engine's report; `requested_at` is the time just before the report
    /// was requested.
    void on_report(engine_report const& report, time_point requested_at, time_point now);

    /// Processes a host's report of its requests in flight at an engine.
    void on_usage(host_id host, endpoint_usage const& usage, time_point now);

    /// Handles the announcement of a new adapter version.
    void on_version(std::string const& adapter, std::uint64_t version);

    /// Sets the number of adapters being loaded by engines whose leases other hosts hold.
    void set_remote_loads(std::uint32_t adapters) noexcept
    {
        remote_loads_ = adapters;
    }

    /// Decides on a host's load request.
    load_reply on_load_request(load_request const& request, time_point now);

    /// The next orders to send: at most one for each engine that has none in progress.
    std::vector<planned_order> next_orders(time_point now);

    /// Processes the result of an order.
    void on_order_done(planned_order const& order, order_result result, time_point now);

    /// Statuses of the engines whose leases this host holds, to send to other hosts.
    [[nodiscard]] std::vector<engine_status> statuses(time_point now) const;

    /// Status of one engine, or nothing if this host does not hold its lease.
    [[nodiscard]] std::optional<engine_status> status_of(endpoint_id endpoint,
                                                         time_point now) const;

    /// Whether this host holds the lease of an engine.
    [[nodiscard]] bool holds(endpoint_id endpoint) const;

    /// Number of loads, ordered or pending, that are expected to end later than `now` at
    /// engines whose leases this host holds.
    [[nodiscard]] std::uint32_t loads_in_transit(time_point now) const;

    /// Engines whose leases this host holds; the caller must request their reports
    /// regularly.
    [[nodiscard]] std::vector<endpoint_id> leased() const;

private:
    /// An adapter that is loaded or being loaded at an engine.
    struct adapter_entry
    {
        // Version; zero if unknown
        std::uint64_t version = 0;
        // Expected end of its load
        time_point ready_at;
        // Time of the order; unset if known only from a report
        std::optional<time_point> ordered_at;
        // Whether its load order is pending
        bool order_pending = false;
        // Whether it is being evicted
        bool evicting = false;
        // Its state in the last report; absent until a report shows its last order
        reported_state reported = reported_state::absent;
    };

    // Adapters of an engine by name
    using adapter_map = std::map<std::string, adapter_entry>;

    /// Recent use of an adapter.
    struct use_score
    {
        // Decayed number of requests
        double score = 0;
        // Time of the last change
        time_point changed;
    };

    /// The last usage report of a host.
    struct host_usage
    {
        // Its requests in flight
        endpoint_usage usage;
        // Time of the report
        time_point at;
    };

    /// An order that was not sent, or was sent and not answered yet.
    struct pending_order
    {
        // Command
        order_kind kind = order_kind::load_adapter;
        // `MODEL/ADAPTER`, or the model's name for `order_kind::load_model`
        std::string model_or_adapter;
    };

    /// State of one engine.
    struct engine
    {
        // Its last announcement
        endpoint_announcement announced;
        // Fencing number of the lease; zero if this host does not hold it
        std::uint64_t fencing_number = 0;
        // Earliest time of the first order
        time_point orders_allowed_from;
        // Whether a report arrived since the lease was acquired, the engine started or
        // the last order failed
        bool reported = false;
        // Reports requested before this time are ignored
        time_point reports_valid_from{};
        // When the last report was requested
        std::optional<time_point> last_report_at;
        // Number of orders that it has accepted; unset until a report tells
        std::optional<std::uint64_t> order_count;
        // When it accepted the last order of this host
        time_point last_accepted_at;
        // Whether it is executing an order for a base model
        bool is_loading_model = false;
        // Loaded base models
        std::vector<std::string> models;
        // Loaded and loading adapters by name
        adapter_map adapters;
        // Adapters that were unloaded, and when; delayed reports may still list them
        std::map<std::string, time_point> unloaded;
        // Pending orders, the next one first; the first may have been sent already
        std::deque<pending_order> pending_orders;
        // Whether an order was sent and not answered yet
        bool order_in_progress = false;
        // Recent use of adapters by name
        std::map<std::string, use_score> scores;
        // Last usage reports by host
        std::map<host_id, host_usage> usages;
    };

    // Whether a report is older than the last order that the engine accepted; otherwise
    // notes its number of orders
    [[nodiscard]] bool is_outdated(engine& target, engine_report const& report,
                                   time_point requested_at) const;
    // Keeps the adapters whose orders a report that was requested at this time may not
    // show
    void keep_recent_orders(engine& target, adapter_map const& known,
                            time_point requested_at) const;
    // Handles an adapter that a report lists as loaded; `known` has the adapters before
    // it
    static void on_reported_loaded(engine& target, versioned_adapter const& adapter,
                                   adapter_map const& known, time_point now);
    // Handles an adapter that a report lists as being loaded
    void on_reported_loading(engine& target, versioned_adapter const& adapter,
                             time_point now) const;
    // The definition of an engine's service, or null if the service is unknown
    [[nodiscard]] engine_definition const* definition(engine const& target) const;
    // Whether orders may be sent to an engine now
    [[nodiscard]] bool accepts_orders(engine const& target, time_point now) const;
    // Plans the load of a base model at an engine that has none
    void plan_model(engine& target);
    // Plans loads of newer versions of the adapters at an engine
    void plan_versions(engine& target);
    // The adapter to evict, or nothing if none may be evicted
    [[nodiscard]] std::optional<std::string> eviction_candidate(engine const& target,
                                                                time_point now) const;
    // Whether a host has requests for an adapter in flight
    [[nodiscard]] bool in_use(engine const& target, std::string const& adapter,
                              time_point now) const;
    // Status of an engine for the other hosts
    [[nodiscard]] engine_status status(endpoint_id id, engine const& target,
                                       time_point now) const;
    // Decayed number of requests for an adapter at an engine
    [[nodiscard]] double score(engine const& target, std::string const& adapter,
                               time_point now) const;
    // Number of loads, ordered or pending, that are expected to end later than `now` at
    // an engine
    [[nodiscard]] static std::uint32_t loads_in_transit_to(engine const& target,
                                                           time_point now);
    // Expected time of a load that starts now
    [[nodiscard]] duration load_time(time_point now) const;
    // Adapter slots that can be used without an eviction
    [[nodiscard]] std::uint32_t free_adapter_slots(engine const& target) const;
    // Whether an order for an adapter is pending or in progress
    [[nodiscard]] static bool has_pending_order(engine const& target,
                                                std::string const& adapter);
    // Discards the pending orders if the next one is a load for which there is no slot:
    // a report since it was planned may show others in its place
    void discard_oversized_load(engine& target) const;
    // Discards the orders that were not sent and the adapters that they would load
    static void discard_pending_orders(engine& target);
    // Creates the order to send for a pending one
    [[nodiscard]] planned_order make_order(endpoint_id id, engine const& target,
                                           pending_order const& next,
                                           time_point now) const;
    // What is known about an engine before an order for an adapter is sent
    [[nodiscard]] order_basis make_basis(engine const& target, std::string const& adapter,
                                         time_point now) const;
    // Counts an order that the engine accepted
    static void count_order(engine& target, planned_order const& order, bool already_done,
                            time_point now);
    // Applies an order to an engine's state; `already_done` is true for
    // `order_result::already_done`
    void apply_order(engine& target, planned_order const& order, bool already_done,
                     time_point now);

    // Options
    load_planner_options options_;
    // Definitions of the model services
    std::map<service_id, engine_definition> services_;
    // Known endpoints, leased or not, including plain ones
    std::map<endpoint_id, engine> engines_;
    // Newest announced versions by adapter
    std::map<std::string, std::uint64_t> versions_;
    // Number of adapters being loaded by engines whose leases other hosts hold
    std::uint32_t remote_loads_ = 0;
};

} // namespace marjorampath
