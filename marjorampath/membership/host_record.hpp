#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/membership/host_state.hpp>

#include <cstdint>

namespace marjorampath
{

/// The state of one host as reported by gossip.
struct host_record
{
    /// The host.
    host_id host;
    /// Its zone.
    zone_id zone;
    /// Its region.
    region_id region;
    /// Initially the start time of the process in wall-clock milliseconds. Raised above
    /// every known incarnation after the first reply and after a long pause, and above a
    /// higher one reported for this host. Zero if unknown.
    std::uint64_t incarnation = 0;
    /// Version of the record within an incarnation; incremented when the host refutes a
    /// suspicion or starts leaving.
    std::uint32_t counter = 0;
    /// The reported state.
    host_state state = host_state::alive;
};

} // namespace marjorampath
