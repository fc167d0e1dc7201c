#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// The backup's answer to a part of a `key_snapshot`.
struct key_snapshot_reply
{
    /// Shard of the keys.
    resource_id shard;
    /// Host that answers.
    host_id backup;
    /// Fencing number of the snapshot.
    std::uint64_t fencing_number = 0;
    /// Number of the part.
    std::uint32_t part = 0;
    /// Whether the backup took the part.
    bool accepted = false;
};

} // namespace marjorampath
