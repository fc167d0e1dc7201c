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

/// Events that a `fleet` reports to the cell of this host.
struct fleet_events
{
    /// Load and unload orders are allowed (true) or forbidden (false).
    std::function<void(bool)> on_order_permission;
    /// Evicting adapters is allowed (true) or forbidden (false).
    std::function<void(bool)> on_eviction_permission;
    /// A running request that was registered after this host became the owner.
    std::function<void(grant_registration const&)> on_grant_registered;
    /// Requests of this entry host can no longer be running.
    std::function<void(host_id)> on_entry_host_lost;
    /// This host is no longer the latest known owner of the cell: its cell's state is
    /// void.
    std::function<void()> on_deposed;
};

/// Makes this host a member of its region's fleet: runs membership and leases, and routes
/// grant requests to the owner of the cell. Used on the control thread only.
class fleet
{
public:
    /// Does not listen yet. `control` and `local`, the cell's service, outlive this
    /// object.
    fleet(boost::asio::io_context& control, fleet_settings const& settings,
          grant_service& local, fleet_events events);

    /// Starts listening for other hosts and starts the periodic tick.
    std::error_code open();

    /// The address that other hosts connect to.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return listener_.address();
    }

    /// Applies a host list.
    void update(std::vector<host_entry> const& hosts);

    /// The grant service that traffic threads use.
    grant_service as_service()
    {
        return router_.as_service();
    }

    /// Source of the fencing numbers that orders carry.
    fencing_source as_fencing_source();

    /// Announces that this host is leaving and hands its leases over.
    void leave();

    /// Closes the listener and all connections, and stops the tick.
    void close();

    /// Runs the remaining handlers of closed links, which must finish while the event
    /// loop of the RPC library exists. Call after `close`, when the control loop has
    /// stopped.
    void drain();

private:
    // Interval of the periodic work
    static constexpr std::chrono::milliseconds tick_interval{20};

    // Registers the handlers for calls from other hosts
    void serve();

    // Runs the periodic work and schedules the next tick, until closed
    void tick();

    // This host acquired the cell's lease, or holds it under a higher fencing number
    void on_acquired(lease_acquired const& lease);

    // This host's lease on the cell ended
    void on_lost();

    // Recalls the grants of all hosts, and allows evictions when all have registered
    void advance_takeover(time_point now);

    // Registers the running requests of a host with the cell
    void apply_registration(grant_list const& list);

    // Reports when this host is no longer the latest known owner of the cell
    void detect_owner_change(time_point now);

    // Logs and records the new state of a host
    void on_host(host_changed const& change);

    // Reports hosts that have been dead for longer than any request may run
    void expire_dead_hosts(time_point now);

    // Adds the lease hint of the cell's owner to outgoing gossip
    void add_updates(gossip& updates) const;

    // Applies the lease hints of received gossip
    void apply_updates(gossip const& updates);

    // The control thread's event loop
    boost::asio::io_context& control_;
    fleet_settings settings_;
    // Receives the events of this object
    fleet_events events_;
    // This host
    host_id self_;
    // The cell of this region
    resource_id cell_;
    // Event loop of the RPC library
    kj_loop loop_;
    // Links to other hosts
    fleet_peers peers_;
    membership_agent members_;
    lease_agent leases_;
    // Routes grant requests to the owner
    grant_router router_;
    // Handlers of the calls from other hosts
    node_service service_;
    // Accepts connections from other hosts
    node_listener listener_;
    // Schedules the next tick
    boost::asio::steady_timer timer_;
    // Delays evictions after a takeover; empty once they are allowed
    std::optional<takeover_guard> guard_;
    // Revision of the host table that was last passed to the guard
    std::uint64_t guard_revision_ = 0;
    // Owner of the cell with the highest fencing number known
    lease_hint owner_;
    // Whether this host's cell holds state from owning it
    bool has_owner_state_ = false;
    // Dead hosts and when each was declared dead
    std::map<host_id, time_point> dead_since_;
};

} // namespace marjorampath::serving
