#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
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
    /// Time since the host began to remember: since its start.
    duration memory{0};
    /// Records.
    std::vector<key_record> records;
};

} // namespace marjorampath
