#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Options of a peer table.
struct peer_table_options
{
    /// Time between two heartbeats to each host, up to `max_hosts_at_full_rate` hosts.
    duration heartbeat_interval = std::chrono::milliseconds(200);
    /// Number of other hosts beyond which hosts send heartbeats to groups of hosts; for
    /// hosts whose build does not know groups the interval grows in proportion.
    std::size_t max_hosts_at_full_rate = 36;
    /// Heartbeats that a host sends per second to its group and to the other groups.
    std::size_t group_heartbeats_per_second = 60;
    /// Fleet size up to which every host reads the configuration store itself.
    std::size_t max_hosts_without_relay = 12;
    /// Heartbeat intervals without a heartbeat after which a host counts as silent.
    std::uint32_t max_missed_heartbeats = 5;
    /// The same where other hosts pass heartbeats on: either of two datagrams may be
    /// lost.
    std::uint32_t max_missed_group_heartbeats = 8;
    /// Hosts that a heartbeat mentions in addition to its receiver.
    std::size_t mentions = 3;
    /// The same for a receiver that has just started, which learns of the fleet from it.
    std::size_t introduction_mentions = 16;
    /// Hosts of each zone that read the store in a larger fleet; the others get its
    /// contents from them. Two, so that the loss of one has no effect.
    std::size_t readers_per_zone = 2;
    /// Time after which a silent host is removed and no longer counts towards the
    /// majority. Longer than the longest partition in the deployments' sheets; otherwise
    /// both sides of a partition could have a majority.
    duration removal_delay = std::chrono::seconds(20);
};

} // namespace marjorampath
