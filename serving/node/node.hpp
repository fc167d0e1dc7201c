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

/// One entry host: the control thread's event loop, its traffic threads, and what joins
/// them to the platform.
class node
{
public:
    /// Makes a node that does not run yet.
    explicit node(node_settings settings);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    /// Opens the listening sockets.
    boost::system::error_code listen();

    /// The address that callers connect to.
    [[nodiscard]] boost::asio::ip::tcp::endpoint callers() const;

    /// The address that other hosts connect to, or nothing where the node runs alone.
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> peers() const;

    /// Runs the control thread's event loop here until the node was shut down.
    void run();

    /// Shuts down: tells the balancer at once, takes new callers for the notice time,
    /// then finishes what is under way. May be called again without effect.
    void shut_down();

private:
    // Joins the fleet, where the settings say so
    void make_fleet();

    // Makes the traffic threads
    void make_workers();

    // Watches for signals that shut the node down
    void watch_signals();

    // Reads the host list until the node is shut down
    boost::asio::awaitable<void> read_host_list();

    // Takes a sheet into force
    void take_sheet(std::shared_ptr<sheet const> const& taken);

    // Tells the cell of versions that only the sheet before has
    void retire_versions(sheet const& taken);

    // Logs why a sheet was not taken
    static void log_sheet_failure(sheet_source::failure const& failure);

    // Tells the monitor and the traffic threads what is known now
    void publish();

    // Takes no new callers
    void stop_callers();

    // One traffic thread has no caller left
    void on_worker_drained();

    // Ends everything
    void finish();

    // The name `ADAPTER@VERSION` of an adapter version, or nothing where it is not known
    [[nodiscard]] std::optional<std::string> name_of(endpoint_id endpoint,
                                                     adapter_version_id adapter) const;

    // Gives one order of the cell
    void order(adapter_order kind, endpoint_id endpoint, adapter_version_id adapter,
               order_callback done);

    // Settings
    node_settings settings_;
    // The control thread's event loop
    boost::asio::io_context control_{1};
    // Signals that shut the node down
    boost::asio::signal_set signals_;
    // Ends the notice time of a shutdown
    boost::asio::steady_timer notice_;
    // Paces the reads of the host list
    boost::asio::steady_timer host_list_pause_;
    // Fencing numbers of orders
    local_fencing fencing_;
    // The numbers as a source
    fencing_source fencing_source_;
    // Sheet in force
    sheet_holder sheets_;
    // Keeps the sheet up to date
    sheet_source sheet_source_;
    // The sheet that was taken last
    std::shared_ptr<sheet const> known_sheet_;
    // Reads the host list
    host_list_client host_list_;
    // Last host list
    std::vector<host_entry> hosts_;
    // Endpoints of the region
    endpoint_monitor monitor_;
    // The cell that this host owns
    cell_host<cell> cell_;
    // The cell as a grant service
    grant_service local_grants_;
    // Part in the fleet; null for a node that runs alone
    std::unique_ptr<fleet> fleet_;
    // Who answers grant requests
    grant_service grants_;
    // Traffic threads
    std::vector<std::unique_ptr<traffic_worker>> workers_;
    // Traffic threads that have callers left
    std::size_t workers_busy_ = 0;
    // Whether the host list answered the last time
    bool host_list_known_ = true;
    // Whether the node is shutting down
    bool stopping_ = false;
};

} // namespace marjorampath::serving
