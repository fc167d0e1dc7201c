#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// A witness's answer about one resource.
struct lease_verdict
{
    /// The resource.
    resource_id resource;
    /// Whether the witness granted the lease for one term from now on.
    bool granted = false;
    /// Holder by the witness's memory; empty where nobody holds it.
    host_id holder;
    /// Time until the lease of `holder` ends at the witness.
    duration remaining{0};
    /// Highest fencing number that the witness was sent for the resource.
    std::uint64_t highest_fencing_number = 0;
};

} // namespace marjorampath
