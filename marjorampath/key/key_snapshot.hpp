#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/key/key_gap.hpp>
#include <marjorampath/key/key_record.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// One part of all records of a shard, sent by its home to a new backup.
struct key_snapshot
{
    /// Shard of the keys.
    resource_id shard;
    /// Home that sends it.
    host_id home;
    /// Fencing number of the home's lease.
    std::uint64_t fencing_number = 0;
    /// Number of this part, from zero.
    std::uint32_t part = 0;
    /// Whether it is the last part: the backup then holds all that the home holds.
    bool last = false;
    /// What the home does not know.
    key_gap gap;
    /// Records.
    std::vector<key_record> records;
};

} // namespace marjorampath
