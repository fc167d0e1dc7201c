#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/heartbeat_groups.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marjorampath
{

class peer_table;

/// Settings of the routing of heartbeats.
struct heartbeat_router_options
{
    /// Heartbeats that a host sends directly to each new process of another host: both
    /// must know each other's incarnation, and a datagram may be lost.
    std::uint32_t introductions = 3;
    /// Rounds between two heartbeats to the silent members of a group that has others.
    std::uint64_t silent_interval = 4;
};

/// One receiver of a heartbeat.
struct heartbeat_target
{
    peer_address address;
    /// The host; empty for an address from which no heartbeat has arrived yet.
    std::optional<host_id> host;
    /// Whether it is a member of this host's group, which gets the heartbeats from
    /// outside too.
    bool in_group = false;
    /// Whether it should pass the heartbeat on to its own group.
    bool passes_on = false;
    /// Whether its process has had few heartbeats of this host.
    bool introduced = false;
};

/// Chooses the receivers of a host's heartbeats.
///
/// In a small fleet each host sends them to every other one. In a larger one the hosts of
/// a zone form groups: a host sends its heartbeats to the members of its own group and to
/// one member of each other group, a different one each time, which passes them on with
/// its next heartbeat. So the number of datagrams grows with the square root of the
/// fleet, and a zone's border is crossed once for each group behind it. Silent hosts pass
/// nothing on, unless their whole group is silent.
class heartbeat_router
{
public:
    /// Constructs the router of a host.
    heartbeat_router(host_id self, zone_id zone, heartbeat_router_options options)
        : self_(self), zone_(zone), options_(options)
    {
    }

    /// The receivers of the next round of heartbeats.
    std::vector<heartbeat_target> next_round(peer_table const& peers, time_point now);

    /// Notes that a process of a host has started or is heard again.
    void on_appeared(host_id host)
    {
        introductions_.erase(host);
    }

private:
    // Heartbeats that one process of a host has been sent
    struct introduction
    {
        std::uint64_t incarnation = 0;
        std::uint32_t sent = 0;
    };

    using group_members = std::map<heartbeat_group, std::vector<heartbeat_target>>;

    // Hosts that may get a heartbeat
    struct receivers
    {
        // Those that get it in each round
        std::vector<heartbeat_target> direct;
        // Members of other groups of which one gets it, by whether they answer
        group_members responsive;
        group_members silent;
    };

    // The hosts that may get the next heartbeat
    receivers find_receivers(peer_table const& peers, time_point now);
    // Counts a heartbeat to a host; true if its process has had few of them before
    bool introduce(host_id host, std::uint64_t incarnation);

    host_id self_;
    zone_id zone_;
    heartbeat_router_options options_;
    std::map<host_id, introduction> introductions_;
    // Number of rounds so far
    std::uint64_t round_ = 0;
};

} // namespace marjorampath
