#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// A new home's question to every host of the region: what do you remember of a shard?
/// From then on the asked host takes no copy of a home with a lower fencing number.
struct key_recovery_request
{
    /// The shard.
    resource_id shard;
    /// The new home.
    host_id home;
    /// Fencing number of its lease.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
