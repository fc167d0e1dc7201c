#pragma once

#include <marjorampath/cell/cell.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjorampath::testing
{

/// What one fake engine holds and runs.
struct fake_endpoint
{
    /// What it reports.
    endpoint_report report;
    /// Requests that run, by adapter.
    std::map<adapter_version_id, std::set<request_id>> running;
    /// Loads that were ordered and did not end.
    std::set<adapter_version_id> loading;
    /// Unloads that were ordered and did not end.
    std::set<adapter_version_id> unloading;

    /// Number of requests that run.
    [[nodiscard]] std::size_t run_count() const;
};

/// Drives a cell with fake endpoints at its interface, in virtual time, and checks after
/// every event that the invariants hold.
class cell_harness
{
public:
    /// Makes a cell with `engines` engines of some slots and a concurrency, all reported.
    cell_harness(cell_options options, unsigned engines, std::uint32_t slots,
                 std::uint32_t concurrency);

    /// Lists an endpoint, or reports it again with changes.
    void report(endpoint_report const& report);

    /// Asks for a run of an adapter; returns the request's number.
    request_id ask(std::string const& adapter, std::string const& team = "team",
                   duration time_limit = std::chrono::seconds(30),
                   std::uint32_t attempt = 0);

    /// Asks for a run as given, with a number of its own.
    request_id ask(grant_request request);

    /// Ends a granted request.
    void release(request_id request, release_reason reason = release_reason::finished);

    /// Ends all granted requests.
    void release_all();

    /// Ends all loads and unloads that are under way; loads of adapters in `failing`
    /// fail.
    void finish_orders();

    /// Lets time pass, and wakes the cell when it asked for it.
    void advance(duration time);

    /// Restarts an engine empty: its runs are lost and its report says so.
    void restart(endpoint_id endpoint);

    /// Carries out and checks the decisions that the cell has appended to `out`.
    void apply();

    /// The endpoint that a request was granted at, or none.
    [[nodiscard]] endpoint_id granted_at(request_id request) const;

    /// The refusal of a request, or null.
    [[nodiscard]] refuse_action const* refused(request_id request) const;

    /// Number of load orders given for an adapter.
    [[nodiscard]] unsigned load_orders(std::string const& adapter) const;

    /// The adapter of a name.
    static adapter_version_id adapter(std::string const& name);

    /// The engine of a number.
    static endpoint_id engine(unsigned number);

    /// Kind of the engines.
    static endpoint_kind_id kind();

    /// The cell that is tested.
    cell tested;
    /// The virtual time.
    time_point now{std::chrono::seconds(1'000)};
    /// Decisions that were not carried out yet.
    cell_actions out;
    /// Endpoints by identifier.
    std::map<endpoint_id, fake_endpoint> endpoints;
    /// Adapters whose loads fail.
    std::set<adapter_version_id> failing;
    /// Whether orders may be given; an order is an error otherwise.
    bool orders_allowed = true;
    /// Whether evictions may be ordered; one is an error otherwise.
    bool eviction_allowed = true;

private:
    void apply(grant_action const& action);
    void apply(refuse_action const& action);
    void apply(load_action const& action);
    void apply(unload_action const& action);

    // Bounds that the cell must keep
    cell_options options_;
    // Requests that were asked
    std::map<request_id, grant_request> asked_;
    // Grants that were not released
    std::map<request_id, endpoint_id> granted_;
    // Every grant that was given
    std::map<request_id, endpoint_id> all_grants_;
    // Refusals
    std::map<request_id, refuse_action> refused_;
    // Load orders by adapter
    std::map<adapter_version_id, unsigned> load_orders_;
    // Number of the next request
    std::uint64_t next_request_ = 1;
};

} // namespace marjorampath::testing
