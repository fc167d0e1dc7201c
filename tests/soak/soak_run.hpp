#pragma once

#include <tests/soak/soak_check.hpp>
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
#include <vector>

namespace marjorampath::test
{

/// How one soak is run.
struct soak_options
{
    /// Faults.
    schedule_options schedule;
    /// Processes.
    soak_fleet::options fleet;
    /// Callers at each node.
    std::size_t callers = 4;
};

/// One soak: a fleet under traffic, a schedule of faults, a recovery, a shutdown.
class soak_run
{
public:
    /// Starts the fleet.
    explicit soak_run(soak_options const& options);

    /// Stops traffic and proxies.
    ~soak_run();

    soak_run(soak_run const&) = delete;
    soak_run& operator=(soak_run const&) = delete;

    /// Runs the schedule and checks all promises; each breach is one line. Throws
    /// std::runtime_error where the fleet does not serve before the first fault.
    std::vector<std::string> run();

    /// How many answers of each status callers got.
    [[nodiscard]] std::map<unsigned, std::size_t> statuses() const;

private:
    using clock = std::chrono::steady_clock;

    // Waits until each node serves
    void await_service();
    // Brings a fault about, and plans its end
    void begin(soak_fault const& fault);
    void begin_link(soak_fault const& fault);
    void begin_endpoint(soak_fault const& fault);
    void begin_node(soak_fault const& fault);
    void begin_change(soak_fault const& fault);
    // Does something later
    void later(std::chrono::milliseconds delay, std::function<void()> act);
    // Carries out what is due, until a time
    void work_until(clock::time_point end);
    // Looks whether nodes that were told to stop have ended, and starts them again
    void watch_stopping();
    // Whether each node serves each kind again in time
    void check_recovery();
    // Stops all nodes under traffic
    void check_shutdown();
    // Whether nothing that was under way at a clean stop was cut
    void check_clean_stop(std::vector<std::int64_t> const& stopped_ms);

    soak_options options_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
    soak_fleet fleet_;
    soak_traffic traffic_;
    std::multimap<clock::time_point, std::function<void()>> due_;
    // Nodes that were told to stop, and when
    std::map<std::size_t, clock::time_point> stopping_;
    soak_evidence evidence_;
    std::vector<std::string> breaches_;
};

} // namespace marjorampath::test
