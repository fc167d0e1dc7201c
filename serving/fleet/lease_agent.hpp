#pragma once

#include <marjorampath/lease/lease_action.hpp>
#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/lease_witness.hpp>
#include <marjorampath/lease/witness_activation.hpp>
#include <marjorampath/membership/host_table.hpp>
#include <serving/fleet/fleet_peers.hpp>
#include <serving/link/node_service.hpp>

#include <functional>
#include <vector>

namespace marjorampath::serving
{

/// Events that a `lease_agent` reports.
struct lease_events
{
    /// This host acquired a resource, or holds it under a higher fencing number.
    std::function<void(lease_acquired const&)> on_acquired;
    /// This host no longer holds a resource.
    std::function<void(lease_lost const&)> on_lost;
};

/// Runs the lease protocol over calls between hosts, for this host as a holder and as a
/// witness. Used on the control thread only.
class lease_agent
{
public:
    /// `hosts` and `peers` outlive this object.
    lease_agent(host_id self, lease_options const& options, host_table const& hosts,
                fleet_peers& peers, lease_events events);

    /// Registers the handlers for lease requests and releases of other hosts.
    void serve(node_service& service);

    /// Sets the leased resources of the region.
    void set_resources(std::vector<leased_resource> const& resources);

    /// Call at least every 50 ms, after the membership's tick.
    void on_tick();

    /// This process counts as a new process: its earlier promises as a witness are void.
    void on_new_incarnation()
    {
        activation_.reset();
    }

    /// Hands over all leases.
    void leave();

    /// Decides about this host's own leases.
    [[nodiscard]] lease_holder& holder() noexcept
    {
        return holder_;
    }

private:
    // Carry out the actions that the holder decided
    void carry_out(lease_actions const& actions);
    void carry_out(send_lease_request const& action);
    void carry_out(send_lease_release const& action);
    void carry_out(lease_acquired const& action);
    void carry_out(lease_lost const& action);

    // Passes the reply of a witness, which may be this host, to the holder
    void on_reply(lease_reply const& reply);

    // Handles a release, as a witness and as a possible successor
    void on_release(lease_release const& release);

    // Answers a request as a witness, by the current host table
    lease_reply answer_request(lease_request const& request);

    // Passes the current host table to the holder and the witness
    void refresh_hosts(time_point now);

    // This host
    host_id self_;
    // Membership's host table
    host_table const& hosts_;
    // Links to other hosts
    fleet_peers& peers_;
    // Receives the events of this object
    lease_events events_;
    // Decides about this host's own leases
    lease_holder holder_;
    // Decides about the requests of holders and records what it granted
    lease_witness witness_;
    // Whether this host may grant as a witness
    witness_activation activation_;
    // Incarnation of this process
    std::uint64_t incarnation_ = 0;
    // Revision of the host table that was last passed to the holder
    std::uint64_t revision_ = 0;
    // Time of the next cleanup of the witness
    time_point next_cleanup_;
};

} // namespace marjorampath::serving
