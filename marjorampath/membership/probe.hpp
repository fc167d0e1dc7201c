#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/gossip/gossip.hpp>

#include <cstdint>

namespace marjorampath
{

/// Checks whether a host is alive, directly or on behalf of another host.
struct probe
{
    /// Sequence number of the sender; the reply repeats it.
    std::uint64_t sequence = 0;
    /// The sender's own record.
    host_record sender;
    /// Host to check.
    host_id target;
    /// Piggybacked gossip.
    gossip updates;
};

} // namespace marjorampath
