#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_want.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// Ends leases early. Sent to the witnesses, and to the successor so that it requests the
/// leases at once. The holder stops giving orders before it sends this.
struct lease_release
{
    /// Host that held the leases.
    host_id holder;
    /// Incarnation of that host.
    std::uint64_t holder_incarnation = 0;
    /// Number of the holder's latest request. A witness ignores requests up to this
    /// number, which may arrive after the release.
    std::uint64_t request_number = 0;
    /// Host that the leases are reserved for during one term; empty for none.
    host_id successor;
    /// Released resources, with the fencing numbers used.
    std::vector<lease_want> resources;
};

} // namespace marjorampath
