#pragma once

#include <marjorampath/key/key_copy.hpp>
#include <marjorampath/key/key_copy_reply.hpp>
#include <marjorampath/key/key_gap.hpp>
#include <marjorampath/key/key_memory.hpp>
#include <marjorampath/key/key_recovery_reply.hpp>
#include <marjorampath/key/key_recovery_request.hpp>
#include <marjorampath/key/key_snapshot.hpp>
#include <marjorampath/key/key_snapshot_reply.hpp>

#include <unordered_map>

namespace marjorampath
{

/// A host's part in remembering keys for homes: it takes copies and gives back what it
/// remembers. It obeys the home with the highest fencing number that it knows of.
class key_backup
{
public:
    /// Makes a backup that stores records in `memory`, which must outlive it.
    key_backup(host_id self, key_memory& memory);

    /// Takes one record of a home.
    key_copy_reply on_copy(time_point now, key_copy const& copy);

    /// Takes a part of all records of a home.
    key_snapshot_reply on_snapshot(time_point now, key_snapshot const& part);

    /// Tells a new home what this host remembers.
    key_recovery_reply on_recovery_request(time_point now,
                                           key_recovery_request const& request,
                                           std::uint64_t incarnation);

    /// Notes that this host holds all records of a home's term, as that home itself.
    void set_synced(time_point now, resource_id shard, std::uint64_t fencing_number,
                    key_gap gap);

private:
    struct shard_state
    {
        // Highest fencing number of a home that is known
        std::uint64_t number = 0;
        // Fencing number of the home whose records are held completely
        std::uint64_t synced_number = 0;
        // Next part of the snapshot that is being received
        std::uint32_t next_part = 0;
        // Fencing number of that snapshot
        std::uint64_t snapshot_number = 0;
        // What that home did not know
        key_gap gap;
        // Time at which `gap` was current
        time_point gap_at;
    };

    // This host
    host_id self_;
    // Records of all shards
    key_memory& memory_;
    // Shards that a home was heard of
    std::unordered_map<resource_id, shard_state> shards_;
};

} // namespace marjorampath
