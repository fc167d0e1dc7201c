#pragma once

#include <marjorampath/gossip/gossip.hpp>
#include <marjorampath/membership/listed_host.hpp>
#include <marjorampath/membership/membership.hpp>
#include <serving/fleet/fleet_peers.hpp>
#include <serving/link/node_service.hpp>

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <utility>

namespace marjorampath::serving
{

/// Functions that a `membership_agent` calls.
struct membership_events
{
    /// Adds updates other than host records to an outgoing probe or reply.
    std::function<void(gossip&)> add_updates;
    /// Applies the updates received from another host.
    std::function<void(host_id, gossip const&)> apply_updates;
    /// The state of a host changed.
    std::function<void(host_changed const&)> on_host;
    /// This process has a new incarnation and counts as a new process.
    std::function<void()> on_new_incarnation;
};

/// Runs the membership protocol: sends its probes as calls between hosts. Used on the
/// control thread only.
class membership_agent
{
public:
    /// `peers` outlives this object.
    membership_agent(host_record const& self, membership_options options,
                     fleet_peers& peers, membership_events events);

    /// Registers the handlers for probes of other hosts.
    void serve(node_service& service);

    /// Applies a host list.
    void on_host_list(std::span<listed_host const> list);

    /// Call at least every 50 ms.
    void on_tick();

    /// Announces that this host is leaving.
    void leave()
    {
        membership_.leave();
    }

    /// The state of all known hosts.
    [[nodiscard]] host_table const& table() const noexcept
    {
        return membership_.table();
    }

private:
    // Identifies a probe without a reply: the requester and its sequence number
    using probe_key = std::pair<host_id, std::uint64_t>;

    // A call of another host that waits for a reply
    struct pending_reply
    {
        // Sends the reply
        reply_function<probe_reply> send;
        // Time at which the requester has given up
        time_point expires;
    };

    // Carry out the actions that the membership decided
    void carry_out(membership_actions const& actions);
    void carry_out(send_probe const& action);
    void carry_out(send_indirect_probe const& action);
    void carry_out(send_probe_reply const& action);
    void carry_out(host_changed const& action);
    void carry_out(own_incarnation_changed const& action);

    // Records a probe that waits for a reply
    void add_pending_reply(host_id requester, std::uint64_t sequence,
                           reply_function<probe_reply> send);

    // Sends a probe of either kind and passes the reply to the membership
    template <class Message>
    void send(host_id to, Message message);

    // Removes calls whose requesters have given up
    void remove_expired_replies(time_point now);

    // Links to other hosts
    fleet_peers& peers_;
    // Functions that this object calls
    membership_events events_;
    // Decides whom to probe and tracks the state of hosts
    membership<boost::random::mt19937> membership_;
    // Calls of other hosts that wait for a reply
    std::map<probe_key, pending_reply> pending_replies_;
};

} // namespace marjorampath::serving
