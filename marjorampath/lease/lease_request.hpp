#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_want.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// A host's question to one witness: grant or renew these leases for one term.
struct lease_request
{
    /// Host that wants to hold the leases.
    host_id holder;
    /// Its incarnation; a restarted process is another holder.
    std::uint64_t holder_incarnation = 0;
    /// Number of the request, rising at the holder; the reply repeats it.
    std::uint64_t request_number = 0;
    /// Resources, in one batch for each pair of hosts.
    std::vector<lease_want> wants;
};

} // namespace marjorampath
