#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// What is remembered of an idempotency key.
enum class key_state : std::uint8_t
{
    /// A request with the key may be running.
    running,
    /// A request with the key ran to its end; its answer is remembered.
    answered,
    /// Whether a request with the key ran cannot be told.
    unknown,
    /// The request certainly did not run; the key may be used again.
    not_run
};

/// The name of a state, as in logs.
std::string_view to_string(key_state value) noexcept;

} // namespace marjorampath
