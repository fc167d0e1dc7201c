#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// A witness's reply for one resource.
struct lease_verdict
{
    /// The resource.
    resource_id resource;
    /// Whether the witness granted the lease, for one term from receipt of the request.
    bool granted = false;
    /// Holder, or successor that the lease is reserved for, as recorded by the witness;
    /// empty for none.
    host_id holder;
    /// Time until the lease or reservation of `holder` ends at the witness.
    duration remaining{0};
    /// Highest fencing number that the witness has recorded for the resource.
    std::uint64_t highest_fencing_number = 0;
};

} // namespace marjorampath
