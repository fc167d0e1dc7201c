#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Settings of a peer table.
struct peer_table_options
{
    /// Time between two beats to each host, in a small fleet.
    duration heartbeat_interval = std::chrono::milliseconds(200);
    /// Hosts beyond which beats become rarer, in proportion: 180 datagrams a second each
    /// way.
    std::size_t max_hosts_at_full_rate = 36;
    /// Hosts up to which each one reads the store itself.
    std::size_t max_hosts_without_relay = 12;
    /// Beats that may be missed before a host counts as silent.
    std::uint32_t max_missed_heartbeats = 5;
    /// Hosts that one last_heartbeat mentions beside its receiver.
    std::size_t mentions = 3;
    /// Hosts of each zone of a larger fleet that read the store; the others learn from
    /// them. Two, so that the loss of one is not felt.
    std::size_t readers_per_zone = 2;
    /// Time after which a silent host is forgotten. Longer than the partitions that the
    /// deployments' sheets name, so that both sides of one never hold a majority.
    duration removal_delay = std::chrono::seconds(20);
};

} // namespace marjorampath
