#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// What an entry host is to do with a request that carries an idempotency key.
enum class key_verdict : std::uint8_t
{
    /// Run it: it is new, and three hosts remember it.
    run,
    /// Answer with the remembered answer.
    replay,
    /// A request with the key is still running: `key_in_progress`.
    in_progress,
    /// The key was used with other content: `key_mismatch`.
    mismatch,
    /// Whether the key was used cannot be told: `key_unknown`.
    unknown,
    /// The asked host is not the key's home now: ask the holder of the shard's lease.
    not_home,
    /// The home cannot take more keys or reach a backup: nothing ran, ask again later.
    unavailable
};

/// The name of a verdict, as in logs.
std::string_view to_string(key_verdict value) noexcept;

} // namespace marjorampath
