#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/key/key_state.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace marjorampath
{

/// What a host remembers of one idempotency key.
struct key_record
{
    /// The key within its caller's scope.
    key_id key;
    /// Content of the request that used it.
    fingerprint_id fingerprint;
    /// The attempt that was allowed to run.
    request_id request;
    /// Number of that attempt; rises where an earlier one certainly did not run.
    std::uint32_t attempt = 0;
    /// Entry host of that attempt.
    host_id entry;
    /// State.
    key_state state = key_state::running;
    /// Time that the key carries (UUIDv7), nothing where it carries none.
    std::optional<wall_milliseconds> key_time;
    /// The whole answer in the form that the entry host replays; empty unless `answered`.
    std::string answer;
    /// Time since the key was first used.
    duration age{0};
};

} // namespace marjorampath
