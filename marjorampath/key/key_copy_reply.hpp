#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// The backup's answer to a `key_copy`.
struct key_copy_reply
{
    /// Shard of the key.
    resource_id shard;
    /// The key.
    key_id key;
    /// The attempt.
    request_id request;
    /// Host that answers.
    host_id backup;
    /// Whether it remembers the record now.
    bool accepted = false;
    /// Highest fencing number that it knows of the shard.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
