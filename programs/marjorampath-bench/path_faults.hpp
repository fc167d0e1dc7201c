#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <thread>
#include <vector>

namespace marjorampath::bench
{

/// Injects faults into engine stand-ins, one engine after another, during its lifetime:
/// restarts, failing loads, and cut streams and answers.
class path_faults
{
public:
    /// Injects one fault at the end of each interval; none if `engines` is empty.
    path_faults(std::vector<boost::asio::ip::tcp::endpoint> engines,
                std::chrono::milliseconds interval);

    /// Stops and joins the thread.
    ~path_faults();

    path_faults(path_faults const&) = delete;
    path_faults& operator=(path_faults const&) = delete;

    /// Number of injected faults.
    [[nodiscard]] std::uint64_t count() const noexcept
    {
        return count_;
    }

private:
    // Injects faults until `stopping_` is set
    void run();

    std::vector<boost::asio::ip::tcp::endpoint> engines_;
    // Time between faults
    std::chrono::milliseconds interval_;
    // Number of injected faults
    std::atomic<std::uint64_t> count_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace marjorampath::bench
