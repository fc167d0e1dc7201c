#pragma once

#include <serving/caller/caller_listener.hpp>
#include <serving/node/traffic_context.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace marjorampath::serving
{

/// Options of a traffic thread.
struct traffic_worker_options
{
    /// This host.
    host_id host;
    /// Limits for callers' connections and requests.
    caller_limits limits;
    /// Limits of the connection pool.
    connection_pool_options connections;
    /// What the thread may hold for its callers.
    resource_limits resources;
    /// Seed of the request identifiers; must be unique to this thread and process run.
    std::uint64_t request_seed = 0;
};

/// A traffic thread with its event loop, its callers and its connections to endpoints.
/// All functions must be called on the control thread.
class traffic_worker
{
public:
    /// Creates a worker without starting its thread. `control` and `service` must outlive
    /// it.
    traffic_worker(traffic_worker_options const& options,
                   boost::asio::io_context& control, grant_service const& service);
    ~traffic_worker();
    traffic_worker(traffic_worker const&) = delete;
    traffic_worker& operator=(traffic_worker const&) = delete;

    /// Listens on an address; must be called before `start`.
    boost::system::error_code listen(boost::asio::ip::tcp::endpoint const& address)
    {
        return listener_.listen(address);
    }

    /// The listening address.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return listener_.address();
    }

    /// Starts the thread.
    void start();

    /// Replaces the routing data.
    void set_view(routing_view view);

    /// Stops accepting callers; calls `drained` on the control thread when the last one
    /// has its answer.
    void stop_callers(std::function<void()> drained);

    /// Stops and joins the thread; aborts exchanges in progress.
    void join();

private:
    // Gives freed memory back to the system, now and regularly
    void return_memory();

    // Event loop of the traffic thread
    boost::asio::io_context loop_{1};
    // Keeps the loop running while it has no work
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    // Event loop of the control thread
    boost::asio::io_context* control_;
    // Bounds what the thread holds for its callers
    std::shared_ptr<host_resources> resources_;
    // Fires when freed memory may be given back to the system
    boost::asio::steady_timer memory_timer_;
    // Objects shared by the thread's exchanges
    traffic_context context_;
    // Accepts callers
    caller_listener listener_;
    std::thread thread_;
};

} // namespace marjorampath::serving
