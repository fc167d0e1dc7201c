#pragma once

#include <serving/caller/caller_listener.hpp>
#include <serving/node/traffic_context.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace marjorampath::serving
{

/// What one traffic thread is made of.
struct traffic_worker_options
{
    /// This host.
    host_id host;
    /// Bounds of what callers may send.
    caller_limits limits;
    /// Bounds of the kept connections.
    connection_pool_options connections;
    /// Unique to this thread of this run of the program.
    std::uint64_t request_seed = 0;
};

/// One traffic thread: its event loop, its callers and its connections to endpoints. All
/// functions are for the control thread.
class traffic_worker
{
public:
    /// Makes a worker that does not run yet. The control loop and the service outlive it.
    traffic_worker(traffic_worker_options options, boost::asio::io_context& control,
                   grant_service const& service);
    ~traffic_worker();
    traffic_worker(traffic_worker const&) = delete;
    traffic_worker& operator=(traffic_worker const&) = delete;

    /// Listens on an address; to be called before `start`.
    boost::system::error_code listen(boost::asio::ip::tcp::endpoint const& address)
    {
        return listener_.listen(address);
    }

    /// The address that is listened on.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return listener_.address();
    }

    /// Starts the thread.
    void start();

    /// Replaces what requests are routed by.
    void set_view(routing_view view);

    /// Accepts no more callers; calls `drained` on the control thread when the last one
    /// has its answer.
    void stop_callers(std::function<void()> drained);

    /// Ends the thread. Cuts what is still under way.
    void join();

private:
    // The thread's event loop
    boost::asio::io_context loop_{1};
    // Keeps the loop running
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    // The control thread's event loop
    boost::asio::io_context* control_;
    // Shared objects of the thread
    traffic_context context_;
    // Callers
    caller_listener listener_;
    // The thread
    std::thread thread_;
};

} // namespace marjorampath::serving
