#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/gossip/gossip.hpp>

#include <cstdint>

namespace marjorampath
{

/// Requests that a host probe a third one that the sender cannot reach.
struct indirect_probe
{
    /// Sequence number of the sender; the reply repeats it.
    std::uint64_t sequence = 0;
    /// The sender's own record.
    host_record sender;
    /// Host to probe.
    host_id subject;
    /// Piggybacked gossip.
    gossip updates;
};

} // namespace marjorampath
