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

/// What a `membership_agent` tells and asks.
struct membership_events
{
    /// News for a probe or reply that are no host records.
    std::function<void(gossip&)> add_news;
    /// Takes the news of another host.
    std::function<void(host_id, gossip const&)> take_news;
    /// The state of a host changed.
    std::function<void(host_changed const&)> on_host;
    /// This process counts as a new one.
    std::function<void()> on_new_incarnation;
};

/// Carries the probes of the membership as calls between hosts. Used on the control
/// thread only.
class membership_agent
{
public:
    /// Joins the membership of this host and the way to others, which outlives it.
    membership_agent(host_record const& self, membership_options options,
                     fleet_peers& peers, membership_events events);

    /// Serves the probes of other hosts.
    void serve(node_service& service);

    /// Takes the host list.
    void on_host_list(std::span<listed_host const> list);

    /// To be called at least every 50 ms.
    void on_tick();

    /// Announces that this host is leaving.
    void leave()
    {
        membership_.leave();
    }

    /// All that is known of hosts.
    [[nodiscard]] host_table const& table() const noexcept
    {
        return membership_.table();
    }

private:
    // Identifies a probe that is to be replied to: asker and its number
    using probe_key = std::pair<host_id, std::uint64_t>;

    // A call of another host that waits for a reply
    struct open_reply
    {
        // Sends the reply
        reply_function<probe_reply> send;
        // Time at which the asker has given up
        time_point expires;
    };

    // Carries actions out
    void carry_out(membership_actions const& actions);
    void carry_out(send_probe const& action);
    void carry_out(send_indirect_probe const& action);
    void carry_out(send_probe_reply const& action);
    void carry_out(host_changed const& action);
    void carry_out(own_incarnation_changed const& action);

    // Remembers who waits for a reply
    void expect_reply(host_id asker, std::uint64_t sequence,
                      reply_function<probe_reply> send);

    // Sends a probe of either kind and feeds its reply
    template <class Message>
    void send(host_id to, Message message);

    // Forgets calls whose askers have given up
    void drop_expired(time_point now);

    // Way to other hosts
    fleet_peers& peers_;
    // Who is told
    membership_events events_;
    // The decisions
    membership<boost::random::mt19937> membership_;
    // Calls of other hosts that wait for a reply
    std::map<probe_key, open_reply> replies_;
};

} // namespace marjorampath::serving
