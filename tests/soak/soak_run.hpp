#pragma once

#include <tests/soak/soak_check.hpp>
#include <tests/soak/soak_crowd.hpp>
#include <tests/soak/soak_fault.hpp>
#include <tests/soak/soak_fleet.hpp>
#include <tests/soak/soak_traffic.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace marjorampath::test
{

/// Parameters of one soak.
struct soak_options
{
    /// Schedule of faults.
    schedule_options schedule;
    /// Size of the fleet.
    soak_fleet::options fleet;
    /// Number of callers of each node.
    std::size_t callers = 4;
    /// Number of routes that a large change adds.
    std::size_t added_routes = 1'400;
    /// Number of callers whose requests crash engines.
    std::size_t crashing_callers = 1;
    /// Number of clients of each node that keep to no limit.
    std::size_t crowd = 0;
};

/// One soak: runs a fleet under traffic through a schedule of faults, its recovery and
/// its shutdown.
class soak_run
{
public:
    /// Starts the fleet.
    explicit soak_run(soak_options const& options);

    /// Stops traffic and proxies.
    ~soak_run();

    soak_run(soak_run const&) = delete;
    soak_run& operator=(soak_run const&) = delete;

    /// Runs the schedule, checks all promises and returns the breaches, one line each.
    /// Throws std::runtime_error if the fleet does not become ready before the first
    /// fault.
    std::vector<std::string> run();

    /// Number of answers by HTTP status; incomplete answers count as status 0.
    [[nodiscard]] std::map<unsigned, std::size_t> statuses() const;

    /// Number of streams that callers continued at another node, and of those that went
    /// on there.
    [[nodiscard]] std::pair<std::size_t, std::size_t> continued_streams() const;

private:
    using clock = std::chrono::steady_clock;

    // Waits until each node serves a request; throws std::runtime_error on a timeout
    void await_service();
    // Injects a fault and schedules its end
    void inject(soak_fault const& fault);
    void inject_link_fault(soak_fault const& fault);
    void inject_endpoint_fault(soak_fault const& fault);
    void inject_node_fault(soak_fault const& fault);
    void inject_limit(soak_fault const& fault);
    void inject_cut(soak_fault const& fault);
    void inject_large_change(soak_fault const& fault);
    void inject_restore(soak_fault const& fault);
    void inject_revocation(soak_fault const& fault);
    // Publishes a configuration with more routes and checks in time that it is in force
    void publish_checked(std::size_t added_routes);
    // Checks that all undisturbed nodes have the configuration that was published last
    void check_configuration(std::uint64_t version, std::int64_t published_ms);
    // Notes that a node cannot be expected to learn of changes for some time
    void note_store_fault(std::size_t node, std::chrono::milliseconds time);
    // Notes that a node, or its link to one endpoint, is disrupted from now on
    void note_disruption(std::size_t node, std::chrono::milliseconds time,
                         std::string const& endpoint = {});
    void inject_change(soak_fault const& fault);
    // Schedules an action
    void schedule_after(std::chrono::milliseconds delay, std::function<void()> action);
    // Runs due actions and polls stopping nodes until a time
    void run_actions_until(clock::time_point end);
    // Restarts the nodes in `stopping_` that have exited; reports those that exit late or
    // with an error
    void poll_stopping_nodes();
    // Restarts the endpoints that have ended by themselves, some time later
    void restart_crashed_endpoints();
    // Checks that each node serves each kind of request again in time
    void check_recovery();
    // Checks that the crowd took no node over the memory of a small machine
    void check_memory();
    // Stops all nodes under traffic and checks their exit statuses
    void check_shutdown();
    // Checks that no request in flight was interrupted by a clean shutdown
    void check_clean_stop(std::vector<std::int64_t> const& stopped_ms);

    soak_options options_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
    soak_fleet fleet_;
    soak_traffic traffic_;
    soak_crowd crowd_;
    // Scheduled actions by time
    std::multimap<clock::time_point, std::function<void()>> due_;
    // Nodes that got SIGTERM, and when
    std::map<std::size_t, clock::time_point> stopping_;
    soak_evidence evidence_;
    // Times in which nodes cannot be expected to learn of changes
    soak_evidence store_faults_;
    std::vector<std::string> breaches_;
};

} // namespace marjorampath::test
