#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace marjorampath
{

class peer_table;

/// A host that looks for another one with a newer proof of its configuration.
struct freshness_search
{
    host_id host;
    zone_id zone;
    /// Age of its own proof; unset if it has none.
    std::optional<duration> age;
    /// Number of the query; another one chooses another host among equals.
    std::uint64_t number = 0;
    /// Whether any host of the zone may be asked, as heartbeats may tell of a newer proof
    /// too late.
    bool urgent = false;
    /// Age added to proofs of hosts in other zones, because traffic between zones is
    /// charged.
    duration other_zone_penalty = std::chrono::milliseconds(800);
};

/// Chooses the host to ask among those whose proof is close to the newest one by their
/// heartbeats; empty if none has a newer one. A heartbeat may have been on its way for
/// any time, so that it serves for this choice only and proves nothing.
host_id choose_freshness_peer(peer_table const& peers, freshness_search const& search,
                              time_point now);

} // namespace marjorampath
