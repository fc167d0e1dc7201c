#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_want.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// Ends leases early. Sent to the witnesses, and to the successor so that it asks at
/// once. The holder stops acting before it sends this.
struct lease_release
{
    /// Host that held the leases.
    host_id holder;
    /// Its incarnation.
    std::uint64_t holder_incarnation = 0;
    /// Number of the holder's latest request; a witness ignores requests that are not
    /// younger, which may arrive late.
    std::uint64_t request_number = 0;
    /// Host that the leases are reserved for during one term; empty for none.
    host_id successor;
    /// Resources that are released, with the fencing numbers used.
    std::vector<lease_want> resources;
};

} // namespace marjorampath
