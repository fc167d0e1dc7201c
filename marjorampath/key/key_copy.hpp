#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/key/key_record.hpp>

#include <cstdint>

namespace marjorampath
{

/// The home's record of a key, sent to its backup.
struct key_copy
{
    /// Shard of the key.
    resource_id shard;
    /// Home that sends it.
    host_id home;
    /// Fencing number of the home's lease; the backup refuses a lower one than it knows.
    std::uint64_t fencing_number = 0;
    /// The record.
    key_record record;
};

} // namespace marjorampath
