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
    /// Start time of its process in wall-clock milliseconds, raised above every
    /// incarnation that the host learned of when it joined. Zero if unknown.
    std::uint64_t incarnation = 0;
    /// Incremented within an incarnation whenever the host refutes a suspicion.
    std::uint32_t counter = 0;
    /// The reported state.
    host_state state = host_state::alive;
};

} // namespace marjorampath
