#pragma once

#include <marjorampath/membership/host_record.hpp>

namespace marjorampath
{

/// Entry of a `host_table`: a host of the region as known to this host.
struct known_host
{
    /// State, zone and incarnation as known from probes and gossip. The incarnation is
    /// zero until the first record of the host arrives.
    host_record record;
    /// Whether the host list last read by this host contains the host.
    bool listed = false;
    /// Whether the host list marks it as leaving.
    bool listed_as_leaving = false;
    /// Whether the host replied to a probe that carried this host's present incarnation,
    /// so that each knows the present incarnation of the other.
    bool incarnations_exchanged = false;

    /// Whether the host is permanently gone: it is dead and the host list does not
    /// contain it. A dead host that is still listed may only be unreachable.
    [[nodiscard]] bool gone() const noexcept
    {
        return !listed && record.state == host_state::dead;
    }

    /// Whether the host may acquire leases.
    [[nodiscard]] bool eligible() const noexcept
    {
        return record.state == host_state::alive && !listed_as_leaving &&
               record.incarnation != 0;
    }
};

} // namespace marjorampath
