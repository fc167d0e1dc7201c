#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// One resource in a lease request or a release.
struct lease_want
{
    /// The resource.
    resource_id resource;
    /// Fencing number that the holder uses or is about to use; zero if it has not chosen
    /// one yet. The witness records the highest of the grants and releases.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
