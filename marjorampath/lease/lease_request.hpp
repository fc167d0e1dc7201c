#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_want.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// A host's request to one witness to grant or renew leases for one term.
struct lease_request
{
    /// Host that requests the leases.
    host_id holder;
    /// Incarnation of that host. A restarted process counts as a new holder.
    std::uint64_t holder_incarnation = 0;
    /// Request number, increasing with each request of the holder. The reply repeats it.
    std::uint64_t request_number = 0;
    /// Resources requested from this witness.
    std::vector<lease_want> wants;
};

} // namespace marjorampath
