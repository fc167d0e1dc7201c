#pragma once

#include <marjorampath/cell/cell.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjorampath::testing
{

/// State of a fake engine.
struct fake_endpoint
{
    /// Its report to the cell.
    endpoint_report report;
    /// Running requests by adapter.
    std::map<adapter_version_id, std::set<request_id>> running;
    /// Adapters whose ordered load has not finished.
    std::set<adapter_version_id> loading;
    /// Adapters whose ordered unload has not finished.
    std::set<adapter_version_id> unloading;

    /// Number of running requests.
    [[nodiscard]] std::size_t run_count() const;
};

/// Drives a cell through its public interface with fake endpoints in virtual time, and
/// checks the invariants after every event.
class cell_harness
{
public:
    /// Makes a cell and reports `engines` engines with the given adapter slots and
    /// concurrency.
    cell_harness(cell_options options, unsigned engines, std::uint32_t slots,
                 std::uint32_t concurrency);

    /// Reports a new or changed endpoint to the cell.
    void report(endpoint_report const& report);

    /// Sends a request for an adapter to the cell; returns the request's number.
    request_id send_request(std::string const& adapter, std::string const& team = "team",
                            duration time_limit = std::chrono::seconds(30),
                            std::uint32_t attempt = 0);

    /// Sends the given request under a new number; returns the number.
    request_id send_request(grant_request request);

    /// Releases a granted request.
    void release(request_id request, release_reason reason = release_reason::finished);

    /// Releases all granted requests.
    void release_all();

    /// Finishes all outstanding loads and unloads; loads of adapters in `failing` fail.
    void finish_orders();

    /// Advances the virtual time and calls `on_tick` at each `next_wakeup`.
    void advance(duration time);

    /// Restarts an engine without adapters; its running requests are lost and released.
    void restart(endpoint_id endpoint);

    /// Checks and carries out the decisions in `out`.
    void apply();

    /// The endpoint at which a request was granted, or none.
    [[nodiscard]] endpoint_id granted_at(request_id request) const;

    /// The refusal of a request, or null.
    [[nodiscard]] refuse_action const* refused(request_id request) const;

    /// Number of load orders given for an adapter.
    [[nodiscard]] unsigned load_orders(std::string const& adapter) const;

    /// The adapter with a name; empty for an empty name.
    static adapter_version_id adapter(std::string const& name);

    /// The engine with a number.
    static endpoint_id engine(unsigned number);

    /// Kind of the engines.
    static endpoint_kind_id kind();

    /// The cell under test.
    cell tested;
    /// The virtual time.
    time_point now{std::chrono::seconds(1'000)};
    /// Decisions not yet carried out.
    cell_actions out;
    /// Endpoints by identifier.
    std::map<endpoint_id, fake_endpoint> endpoints;
    /// Adapters whose loads fail.
    std::set<adapter_version_id> failing;
    /// Whether load and unload orders are allowed; otherwise an order fails the test.
    bool orders_allowed = true;
    /// Whether evictions are allowed; otherwise one fails the test.
    bool eviction_allowed = true;

private:
    void apply(grant_action const& action);
    void apply(refuse_action const& action);
    void apply(load_action const& action);
    void apply(unload_action const& action);

    // Limits that the cell must respect
    cell_options options_;
    // All requests that were sent
    std::map<request_id, grant_request> requests_;
    // Grants not yet released
    std::map<request_id, endpoint_id> granted_;
    // All grants, including released ones
    std::map<request_id, endpoint_id> all_grants_;
    // All refusals
    std::map<request_id, refuse_action> refused_;
    // Load orders by adapter
    std::map<adapter_version_id, unsigned> load_orders_;
    // Number of the next request
    std::uint64_t next_request_ = 1;
};

} // namespace marjorampath::testing
