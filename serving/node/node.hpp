#pragma once

#include <marjorampath/cell/cell.hpp>
#include <serving/engine/engine_orders.hpp>
#include <serving/fleet/fleet.hpp>
#include <serving/host_list/host_list_client.hpp>
#include <serving/node/cell_host.hpp>
#include <serving/node/endpoint_monitor.hpp>
#include <serving/node/local_fencing.hpp>
#include <serving/node/traffic_worker.hpp>
#include <serving/settings/node_settings.hpp>
#include <serving/sheet_source/sheet_source.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath::serving
{

/// One entry host: the event loop of the control thread, the traffic threads, and the
/// connections to the platform services and the other hosts.
class node
{
public:
    /// Creates a node that neither listens nor runs yet.
    explicit node(node_settings settings);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    /// Opens the listening sockets for callers and, in a fleet, for other hosts.
    boost::system::error_code listen();

    /// The listening address for callers.
    [[nodiscard]] boost::asio::ip::tcp::endpoint caller_address() const;

    /// The listening address for other hosts, or nothing if the node runs without a
    /// fleet.
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> peer_address() const;

    /// Runs the control thread's event loop on the calling thread until shutdown is
    /// complete.
    void run();

    /// Starts a graceful shutdown: fails the readiness check at once so that the load
    /// balancer stops sending callers, accepts new callers for the notice time, then
    /// finishes the requests in progress. Further calls have no effect.
    void shut_down();

private:
    // Creates the fleet member if the settings have a fleet address
    void make_fleet();

    // Creates the traffic threads
    void make_workers();

    // Shuts the node down on SIGTERM or SIGINT
    void watch_signals();

    // Polls the host list until the node shuts down
    boost::asio::awaitable<void> read_host_list();

    // Applies a new sheet
    void apply_sheet(std::shared_ptr<sheet const> const& new_sheet);

    // Reports to the cell the adapter versions that are missing from the new sheet
    void retire_versions(sheet const& new_sheet);

    // Logs why a sheet could not be fetched or was rejected
    static void log_sheet_failure(sheet_source::failure const& failure);

    // Passes the host list and the sheet to the fleet, the monitor and the traffic
    // threads
    void publish();

    // Leaves the fleet and stops accepting callers, at the end of the notice time
    void stop_callers();

    // Handles a traffic thread whose last caller has its answer
    void on_worker_drained();

    // Stops all components and the control thread's event loop
    void finish();

    // The name `ADAPTER@VERSION` of an adapter version, or nothing if it is unknown
    [[nodiscard]] std::optional<std::string> name_of(endpoint_id endpoint,
                                                     adapter_version_id adapter) const;

    // Sends an order of the cell to an engine
    void execute_order(adapter_order kind, endpoint_id endpoint,
                       adapter_version_id adapter, order_callback done);

    node_settings settings_;
    // The control thread's event loop
    boost::asio::io_context control_{1};
    // Signals that shut the node down
    boost::asio::signal_set signals_;
    // Timer for the notice time of a shutdown
    boost::asio::steady_timer notice_timer_;
    // Timer between polls of the host list
    boost::asio::steady_timer host_list_timer_;
    // Fencing numbers of a node without a fleet
    local_fencing fencing_;
    // Fencing numbers of orders: the fleet's or local ones
    fencing_source fencing_source_;
    // Holds the sheet in force
    sheet_holder sheets_;
    // Fetches new sheets from the configuration service
    sheet_source sheet_source_;
    // Sheet applied last
    std::shared_ptr<sheet const> applied_sheet_;
    // Client of the host list service
    host_list_client host_list_;
    // Last host list that was read
    std::vector<host_entry> hosts_;
    // Monitors the endpoints of the region
    endpoint_monitor monitor_;
    // This host's cell
    cell_host<cell> cell_;
    // Grants decided by this host's cell
    grant_service local_grants_;
    // Membership in the fleet; null for a node without a fleet
    std::unique_ptr<fleet> fleet_;
    // Grants for the traffic threads: decided by the fleet or by this host's cell
    grant_service grants_;
    // Traffic threads
    std::vector<std::unique_ptr<traffic_worker>> workers_;
    // Number of traffic threads that still have callers during shutdown
    std::size_t workers_busy_ = 0;
    // Whether the last read of the host list succeeded
    bool host_list_reachable_ = true;
    // Whether the node is shutting down
    bool stopping_ = false;
};

} // namespace marjorampath::serving
