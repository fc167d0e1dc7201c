#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/key/key_options.hpp>
#include <marjorampath/key/key_record.hpp>

#include <deque>
#include <unordered_map>
#include <vector>

namespace marjorampath
{

/// The idempotency keys that a host remembers, as entry host, home or backup. Bounded in
/// number, bytes and time.
class key_memory
{
public:
    /// Makes an empty memory.
    explicit key_memory(key_options options);

    /// The record of a key, or null. Expired ones are not found.
    [[nodiscard]] key_record const* find(time_point now, resource_id shard,
                                         key_id key) const;

    /// Takes a record: a later attempt replaces an earlier one, and of one attempt the
    /// state that tells more replaces the one that tells less. False where the memory is
    /// full.
    bool merge(time_point now, resource_id shard, key_record record);

    /// The records of a shard, with their ages.
    [[nodiscard]] std::vector<key_record> records_of(time_point now,
                                                     resource_id shard) const;

    /// Forgets what expired.
    void forget_old(time_point now);

    /// Number of records.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size();
    }

    /// Bytes of remembered answers.
    [[nodiscard]] std::size_t answer_bytes() const noexcept
    {
        return answer_bytes_;
    }

private:
    struct entry
    {
        // Shard of the key
        resource_id shard;
        // What is remembered; the age is that of the first use
        key_record record;
        // Time of the first use on this host's clock
        time_point first_used;
    };

    // Settings
    key_options options_;
    // Records by key
    std::unordered_map<key_id, entry> entries_;
    // Keys in the order in which they became known
    std::deque<key_id> order_;
    // Bytes of remembered answers
    std::size_t answer_bytes_ = 0;
};

} // namespace marjorampath
