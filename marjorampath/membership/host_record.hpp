#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/membership/host_state.hpp>

#include <cstdint>

namespace marjorampath
{

/// What one host tells another about a host.
struct host_record
{
    /// The host.
    host_id host;
    /// Its zone.
    zone_id zone;
    /// Its region.
    region_id region;
    /// Start of its process in wall-clock milliseconds, made larger than every
    /// incarnation that it heard of at its start. Zero where not known.
    std::uint64_t incarnation = 0;
    /// Rises within an incarnation whenever the host objects to a suspicion.
    std::uint32_t counter = 0;
    /// State that is claimed.
    host_state state = host_state::alive;
};

} // namespace marjorampath
