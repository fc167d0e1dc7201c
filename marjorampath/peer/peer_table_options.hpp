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
    /// Number of other hosts beyond which the interval grows in proportion, which limits
    /// a host to 180 datagrams per second in each direction.
    std::size_t max_hosts_at_full_rate = 36;
    /// Fleet size up to which every host reads the configuration store itself.
    std::size_t max_hosts_without_relay = 12;
    /// Heartbeat intervals without a heartbeat after which a host counts as silent.
    std::uint32_t max_missed_heartbeats = 5;
    /// Hosts that a heartbeat mentions in addition to its receiver.
    std::size_t mentions = 3;
    /// Hosts of each zone that read the store in a larger fleet; the others get its
    /// contents from them. Two, so that the loss of one has no effect.
    std::size_t readers_per_zone = 2;
    /// Time after which a silent host is removed and no longer counts towards the
    /// majority. Longer than the longest partition in the deployments' sheets; otherwise
    /// both sides of a partition could have a majority.
    duration removal_delay = std::chrono::seconds(20);
};

} // namespace marjorampath
