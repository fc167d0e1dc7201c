#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <thread>
#include <vector>

namespace marjorampath::bench
{

/// Makes engine stand-ins fail in turn while it exists: a restart, failing loads, cut
/// streams.
class path_faults
{
public:
    /// Causes one fault at the end of each interval; none without engines.
    path_faults(std::vector<boost::asio::ip::tcp::endpoint> engines,
                std::chrono::milliseconds interval);

    /// Stops.
    ~path_faults();

    path_faults(path_faults const&) = delete;
    path_faults& operator=(path_faults const&) = delete;

    /// Number of faults that were caused.
    [[nodiscard]] std::uint64_t count() const noexcept
    {
        return count_;
    }

private:
    // Causes faults until told to stop
    void run();

    // Engines
    std::vector<boost::asio::ip::tcp::endpoint> engines_;
    // Time between two faults
    std::chrono::milliseconds interval_;
    // Faults caused
    std::atomic<std::uint64_t> count_{0};
    // Whether to stop
    std::atomic<bool> stopping_{false};
    // Runs the faults
    std::thread thread_;
};

} // namespace marjorampath::bench
