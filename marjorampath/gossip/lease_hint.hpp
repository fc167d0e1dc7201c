#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// A lease holder as known from gossip, possibly outdated. Requests for the resource are
/// sent to it first.
struct lease_hint
{
    /// The resource.
    resource_id resource;
    /// Its holder.
    host_id holder;
    /// The holder's fencing number; a higher one replaces a lower one.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
