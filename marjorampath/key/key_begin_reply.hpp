#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/key/key_verdict.hpp>

#include <cstdint>
#include <string>

namespace marjorampath
{

/// The home's answer to a `key_begin`.
struct key_begin_reply
{
    /// Shard of the key.
    resource_id shard;
    /// The key.
    key_id key;
    /// The attempt that asked.
    request_id request;
    /// Number of the attempt, for `run`.
    std::uint32_t attempt = 0;
    /// What to do.
    key_verdict verdict = key_verdict::unavailable;
    /// The remembered answer, for `replay`.
    std::string answer;
    /// Holder of the shard as far as known, for `not_home`.
    host_id home;
    /// Backup that remembers the key too, for `run`.
    host_id backup;
    /// Fencing number of the home's lease.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
