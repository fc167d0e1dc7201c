#pragma once

#include <marjorampath/membership/host_record.hpp>

namespace marjorampath
{

/// What a host knows of a host of its region, itself included.
struct known_host
{
    /// State, zone and incarnation as known by probes and gossip. The incarnation is zero
    /// where nothing was heard of the host yet.
    host_record record;
    /// Whether the host list, as last read here, shows the host.
    bool listed = false;
    /// Whether the host list shows it as leaving.
    bool listed_as_leaving = false;
    /// Whether the host answered a probe that carried this host's present incarnation, so
    /// that each is known to the other.
    bool incarnations_exchanged = false;

    /// Whether the host is certainly gone: the host list does not show it and it does not
    /// answer. A host that merely does not answer is not gone.
    [[nodiscard]] bool gone() const noexcept
    {
        return !listed && record.state == host_state::dead;
    }

    /// Whether the host can be given leases.
    [[nodiscard]] bool eligible() const noexcept
    {
        return record.state == host_state::alive && !listed_as_leaving &&
               record.incarnation != 0;
    }
};

} // namespace marjorampath
