#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>

namespace marjorampath
{

/// Settings of the idempotency keys; equal on all hosts of a region.
struct key_options
{
    /// Time for which a key is remembered after its first use.
    duration lifetime = std::chrono::minutes(10);
    /// Largest number of keys that a host remembers.
    std::size_t max_records = 100'000;
    /// Largest number of bytes of answers that a host remembers.
    std::size_t max_answer_bytes = 16'000'000;
    /// Time that a new home waits for what others remember.
    duration recovery_timeout = std::chrono::milliseconds(600);
    /// Time after which a message without acknowledgement is sent again.
    duration resend = std::chrono::milliseconds(200);
    /// Largest error of the time that a key carries.
    wall_milliseconds key_time_error = std::chrono::seconds(5);
    /// Number of records in one part of a snapshot.
    std::size_t snapshot_records = 256;
    /// Whether a home may let keys run while no other host can be its backup.
    bool allow_alone = true;
    /// Whether a shard of which no witness ever heard counts as new. Not safe where all
    /// hosts may be restarted within `lifetime`.
    bool trust_first_start = false;
};

} // namespace marjorampath
