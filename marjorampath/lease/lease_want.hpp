#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// One resource in a request for leases.
struct lease_want
{
    /// The resource.
    resource_id resource;
    /// Fencing number that the holder uses or is about to use; zero where it has not
    /// chosen one yet. The witness remembers the highest that it was sent.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
