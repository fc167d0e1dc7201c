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

/// Who is told of leases.
struct lease_events
{
    /// This host holds a resource from now on, or with a higher number.
    std::function<void(lease_acquired const&)> on_acquired;
    /// This host holds a resource no longer.
    std::function<void(lease_lost const&)> on_lost;
};

/// Carries the questions and answers of leases as calls between hosts, for this host as
/// a holder and as a witness. Used on the control thread only.
class lease_agent
{
public:
    /// Joins the decisions, what is known of hosts and the way to them, which outlive
    /// this object.
    lease_agent(host_id self, lease_options const& options, host_table const& hosts,
                fleet_peers& peers, lease_events events);

    /// Serves the requests and releases of other hosts.
    void serve(node_service& service);

    /// Sets the resources of the region.
    void set_resources(std::vector<leased_resource> const& resources);

    /// To be called at least every 50 ms, after the membership's tick.
    void on_tick();

    /// This process counts as a new one: what it promised as a witness is void.
    void on_new_incarnation()
    {
        activation_.reset();
    }

    /// Hands over everything.
    void leave();

    /// The decisions of the holder.
    [[nodiscard]] lease_holder& holder() noexcept
    {
        return holder_;
    }

private:
    // Carries actions out
    void carry_out(lease_actions const& actions);
    void carry_out(send_lease_request const& action);
    void carry_out(send_lease_release const& action);
    void carry_out(lease_acquired const& action);
    void carry_out(lease_lost const& action);

    // Takes the answer of a witness, this host included
    void take_reply(lease_reply const& reply);

    // Takes a release, as a witness and as a possible successor
    void take_release(lease_release const& release);

    // Answers a request as a witness, by what is known of hosts right now
    lease_reply judge(lease_request const& request);

    // Takes the hosts as known now
    void take_hosts(time_point now);

    // This host
    host_id self_;
    // What is known of hosts
    host_table const& hosts_;
    // Way to other hosts
    fleet_peers& peers_;
    // Who is told
    lease_events events_;
    // Decides about own leases
    lease_holder holder_;
    // Remembers what it granted
    lease_witness witness_;
    // Whether this host may grant
    witness_activation activation_;
    // Incarnation of this process
    std::uint64_t incarnation_ = 0;
    // Revision of the hosts that were last taken
    std::uint64_t revision_ = 0;
    // Time of the next tidying
    time_point next_tidying_;
};

} // namespace marjorampath::serving
