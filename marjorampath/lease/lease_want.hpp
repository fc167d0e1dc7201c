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
    /// one yet. The witness records the highest fencing number of the requests that it
    /// grants and the releases that it accepts.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
