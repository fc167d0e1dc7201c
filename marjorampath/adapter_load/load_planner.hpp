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

/// Plans the orders of one host to the engines whose leases it holds: which adapter is
/// loaded, and which one makes way.
///
/// The load pattern that it answers: most adapters are asked for once in a long while, a
/// few all the time, and which ones changes within seconds. The adapter with the least
/// decayed use makes way; one that runs, is awaited or has just arrived never does. An
/// engine is never sent more than fits, whatever was lost on the way: an order without an
/// answer counts as carried out until a later report tells otherwise.
class load_planner
{
public:
    /// Makes a planner that holds no lease.
    explicit load_planner(load_planner_options options);

    /// Takes the services of a deployment.
    void set_services(std::vector<service_definition> const& services);

    /// Takes a change of the catalog.
    void on_endpoint(endpoint_event const& event, time_point now);

    /// This host holds an engine's lease. `continued` tells that nobody else held it
    /// since this host gave its last order.
    void on_lease(endpoint_id endpoint, std::uint64_t fencing_number, bool continued,
                  time_point now);

    /// This host holds an engine's lease no longer.
    void on_lease_lost(endpoint_id endpoint);

    /// Takes an engine's report; `requested_at` is the time before it was asked for.
    void on_report(engine_report const& report, time_point requested_at, time_point now);

    /// Takes what a host has in flight at an engine.
    void on_usage(host_id host, endpoint_usage const& usage, time_point now);

    /// Takes a newly announced version of an adapter.
    void on_version(std::string const& adapter, std::uint64_t version);

    /// Takes the adapters in transit at engines of other hosts.
    void set_remote_loads(std::uint32_t adapters) noexcept
    {
        remote_loads_ = adapters;
    }

    /// Decides about an adapter that a host asks for.
    load_reply on_load_request(load_request const& request, time_point now);

    /// The next orders to give: at most one for each engine that has none under way.
    std::vector<planned_order> next_orders(time_point now);

    /// Takes the result of an order.
    void on_order_done(planned_order const& order, order_result result, time_point now);

    /// The engines of this host, for the other hosts.
    [[nodiscard]] std::vector<engine_status> statuses(time_point now) const;

    /// One engine of this host, or nothing for another one's.
    [[nodiscard]] std::optional<engine_status> status_of(endpoint_id endpoint,
                                                         time_point now) const;

    /// Whether this host holds an engine's lease.
    [[nodiscard]] bool holds(endpoint_id endpoint) const;

    /// Adapters in transit to engines of this host.
    [[nodiscard]] std::uint32_t transit(time_point now) const;

    /// Engines whose report is wanted: leased ones.
    [[nodiscard]] std::vector<endpoint_id> leased() const;

private:
    /// An adapter at an engine.
    struct held
    {
        // Version; zero where not known
        std::uint64_t version = 0;
        // When its load ends
        time_point ready_at;
        // When it was ordered; not set where it was only reported
        std::optional<time_point> ordered_at;
        // Whether its order still waits for its turn
        bool planned = false;
        // Whether it makes way for another one
        bool leaving = false;
    };

    /// How often an adapter was used of late.
    struct use_score
    {
        // Decayed number of requests
        double score = 0;
        // When the number was last changed
        time_point changed;
    };

    /// What a host reported.
    struct host_usage
    {
        // What it has in flight
        endpoint_usage usage;
        // When it reported
        time_point at;
    };

    /// An order that waits for its turn.
    struct step
    {
        // What to do
        order_kind kind = order_kind::load_adapter;
        // `MODEL/ADAPTER`, or the model's name for an order about the model itself
        std::string subject;
    };

    /// One engine.
    struct engine
    {
        // What it announced
        endpoint_announcement announced;
        // Fencing number of the lease; zero where not held
        std::uint64_t fencing_number = 0;
        // Time from which orders may be given
        time_point orders_allowed_from;
        // Whether a report came since the lease was taken or the engine started
        bool reported = false;
        // Reports that were asked for before this time are not believed
        time_point reports_valid_from{};
        // Whether it carries out an order about a base model
        bool busy = false;
        // Base models
        std::vector<std::string> models;
        // Adapters by name
        std::map<std::string, held> adapters;
        // Adapters that were dropped, and when: reports lag behind
        std::map<std::string, time_point> dropped;
        // Orders that wait
        std::deque<step> steps;
        // Whether an order is under way
        bool ordering = false;
        // Use of adapters by name
        std::map<std::string, use_score> scores;
        // What hosts reported
        std::map<host_id, host_usage> usages;
    };

    // The definition of an engine's service, or null
    [[nodiscard]] engine_definition const* definition(engine const& subject) const;
    // Whether orders may be planned for an engine
    [[nodiscard]] bool accepts_orders(engine const& subject, time_point now) const;
    // Plans the load of a base model at an empty engine
    void plan_model(engine& subject);
    // Plans newer versions of what an engine holds
    void plan_versions(engine& subject);
    // The adapter that makes way, or nothing where all are needed
    [[nodiscard]] std::optional<std::string> victim(engine const& subject,
                                                    time_point now) const;
    // Whether a host has requests for an adapter in flight
    [[nodiscard]] bool in_use(engine const& subject, std::string const& adapter,
                              time_point now) const;
    // One engine for the other hosts
    [[nodiscard]] engine_status status(endpoint_id id, engine const& subject,
                                       time_point now) const;
    // Decayed number of requests for an adapter
    [[nodiscard]] double score(engine const& subject, std::string const& adapter,
                               time_point now) const;
    // Adapters on their way to an engine
    [[nodiscard]] static std::uint32_t loads_in_transit_to(engine const& subject,
                                                           time_point now);
    // Time that a load started now takes
    [[nodiscard]] duration load_time(time_point now) const;
    // Adapters that an engine can take without one making way
    [[nodiscard]] std::uint32_t free_adapter_slots(engine const& subject) const;
    // Whether an order about an adapter waits or is under way
    [[nodiscard]] static bool has_pending_order(engine const& subject,
                                                std::string const& adapter);
    // Gives up the orders that wait
    static void discard_pending_orders(engine& subject);
    // Makes an order of a step
    [[nodiscard]] planned_order make_order(endpoint_id id, engine const& subject,
                                           step const& next) const;
    // Takes an order that was accepted or holds
    void apply_order(engine& subject, planned_order const& order, bool holds,
                     time_point now);

    // Settings
    load_planner_options options_;
    // Model services
    std::map<service_id, engine_definition> services_;
    // Engines
    std::map<endpoint_id, engine> engines_;
    // Announced versions by adapter
    std::map<std::string, std::uint64_t> versions_;
    // Adapters in transit at engines of other hosts
    std::uint32_t remote_loads_ = 0;
};

} // namespace marjorampath
