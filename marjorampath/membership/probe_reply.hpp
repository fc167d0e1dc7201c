#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/gossip/gossip.hpp>

#include <cstdint>

namespace marjorampath
{

/// Reply to a `probe` or an `indirect_probe`.
struct probe_reply
{
    /// Sequence number of the probe.
    std::uint64_t sequence = 0;
    /// The sender's own record.
    host_record sender;
    /// The host that is alive: the sender itself, or the subject of an `indirect_probe`.
    host_id subject;
    /// The prober's incarnation as known to the sender. If it is not the prober's present
    /// one, incarnations do not count as exchanged.
    std::uint64_t requester_incarnation = 0;
    /// Piggybacked gossip.
    gossip updates;
};

} // namespace marjorampath
