#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/key/key_gap.hpp>
#include <marjorampath/key/key_record.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// What a host remembers of a shard, as entry host, earlier home or backup.
struct key_recovery_reply
{
    /// The shard.
    resource_id shard;
    /// Host that answers.
    host_id host;
    /// Its incarnation.
    std::uint64_t incarnation = 0;
    /// Fencing number of the question.
    std::uint64_t fencing_number = 0;
    /// Whether the host knows of a home with a higher fencing number and refuses.
    bool refused = false;
    /// Highest fencing number of a home of the shard that the host knew of before.
    std::uint64_t known_number = 0;
    /// Fencing number of the home whose records the host holds completely, as that home
    /// or as its backup; zero for none.
    std::uint64_t synced_number = 0;
    /// What that home did not know.
    key_gap gap;
    /// Records.
    std::vector<key_record> records;
};

} // namespace marjorampath
