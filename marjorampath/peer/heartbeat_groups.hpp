#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// A part of a zone's hosts that pass heartbeats from outside on to each other.
struct heartbeat_group
{
    zone_id zone;
    std::uint32_t index = 0;

    friend auto operator<=>(heartbeat_group const&, heartbeat_group const&) = default;
};

/// Number of hosts that a group should have: about the square root of the fleet's size,
/// so that a host has as many groups to send to as members of its own group. A power of
/// two, so that hosts which know different numbers of hosts mostly agree.
std::size_t heartbeat_group_size(std::size_t fleet_hosts);

/// The group of a host, for a zone of `zone_hosts` hosts in a fleet of `fleet_hosts`.
/// Where two hosts disagree on these numbers, the groups of one are parts of those of the
/// other.
heartbeat_group heartbeat_group_of(host_id host, zone_id zone, std::size_t zone_hosts,
                                   std::size_t fleet_hosts);

} // namespace marjorampath
