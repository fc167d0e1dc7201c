#pragma once

#include <marjorampath/cell/grant_registration.hpp>
#include <marjorampath/gossip/lease_hint.hpp>
#include <marjorampath/lease/takeover_guard.hpp>
#include <serving/engine/engine_orders.hpp>
#include <serving/fleet/fleet_peers.hpp>
#include <serving/fleet/fleet_settings.hpp>
#include <serving/fleet/grant_router.hpp>
#include <serving/fleet/lease_agent.hpp>
#include <serving/fleet/membership_agent.hpp>
#include <serving/link/kj_loop.hpp>
#include <serving/link/node_listener.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <system_error>
#include <vector>

namespace marjorampath::serving
{

/// What a `fleet` tells the cell of this host.
struct fleet_events
{
    /// Whether load and unload orders may be given.
    std::function<void(bool)> on_order_permission;
    /// Whether adapters may be evicted.
    std::function<void(bool)> on_eviction_permission;
    /// Another host's running request, registered after this host became the owner.
    std::function<void(grant_registration const&)> on_grant_registered;
    /// The requests of an entry host certainly no longer run.
    std::function<void(host_id)> on_entry_host_lost;
    /// Another host owns the cell: what this host's cell knows is void.
    std::function<void()> on_deposed;
};

/// This host's part in the fleet of its region: membership, leases and the way of grant
/// requests to the owner of the cell. Used on the control thread only.
class fleet
{
public:
    /// Does not listen yet. The loop and the cell's service outlive this object.
    fleet(boost::asio::io_context& control, fleet_settings const& settings,
          grant_service& local, fleet_events events);

    /// Listens for other hosts and starts.
    std::error_code open();

    /// The address that other hosts connect to.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return listener_.address();
    }

    /// Takes a host list.
    void update(std::vector<host_entry> const& hosts);

    /// The way to grants for traffic threads.
    grant_service as_service()
    {
        return router_.as_service();
    }

    /// The fencing numbers of orders.
    fencing_source as_fencing_source();

    /// Hands the leases over and announces that this host is leaving.
    void leave();

    /// Closes all connections.
    void close();

    /// Runs the closed links out: what they still hold must end while the loop of the RPC
    /// library exists. To be called behind `close`, when the control loop has stopped.
    void drain();

private:
    // Time between two ticks of all decisions
    static constexpr std::chrono::milliseconds tick_interval{20};

    // Joins the calls of other hosts and what answers them
    void serve();

    // Ticks until closed
    void tick();

    // This host owns the cell
    void on_acquired(lease_acquired const& lease);

    // This host owns the cell no longer
    void on_lost();

    // Asks hosts for what they run, and allows evictions when all have answered
    void advance_takeover(time_point now);

    // Takes what a host runs
    void apply_registration(grant_list const& list);

    // Notices that another host owns the cell
    void detect_owner_change(time_point now);

    // Notes the state of a host
    void on_host(host_changed const& change);

    // Tells of hosts that have been dead for longer than any request runs
    void expire_dead_hosts(time_point now);

    // Adds the owner of the cell to news
    void add_news(gossip& news) const;

    // Takes the owner of the cell from news
    void take_news(gossip const& news);

    // The control thread's event loop
    boost::asio::io_context& control_;
    // Settings
    fleet_settings settings_;
    // Who is told
    fleet_events events_;
    // This host
    host_id self_;
    // The cell
    resource_id cell_;
    // The loop of the RPC library
    kj_loop loop_;
    // Links to other hosts
    fleet_peers peers_;
    // Membership
    membership_agent members_;
    // Leases
    lease_agent leases_;
    // Way of grants
    grant_router router_;
    // What answers other hosts
    node_service service_;
    // Accepts other hosts
    node_listener listener_;
    // Paces the ticks
    boost::asio::steady_timer timer_;
    // Keeps a new owner from evicting
    std::optional<takeover_guard> guard_;
    // Revision of the hosts that the guard knows
    std::uint64_t guard_revision_ = 0;
    // Owner of the cell by the highest number heard of
    lease_hint owner_;
    // Whether this host's cell holds state of its ownership
    bool has_owner_state_ = false;
    // Time since which hosts have been dead
    std::map<host_id, time_point> dead_since_;
};

} // namespace marjorampath::serving
