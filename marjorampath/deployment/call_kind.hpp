#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// Whether a route's requests may be repeated, and whether they are answered by a stream.
enum class call_kind : std::uint8_t
{
    /// Idempotent, though not necessarily read-only; may run any number of times.
    safe,
    /// Not idempotent; runs at most once.
    unsafe,
    /// Answered by a stream of events; runs at most once.
    stream,
    /// Answered by a stream of events that another endpoint can continue; may be
    /// repeated.
    continuable_stream
};

/// Whether a request of this kind may run more than once.
constexpr bool is_idempotent(call_kind kind) noexcept
{
    return kind == call_kind::safe || kind == call_kind::continuable_stream;
}

/// Whether requests of this kind are answered by a stream of events.
constexpr bool is_stream(call_kind kind) noexcept
{
    return kind == call_kind::stream || kind == call_kind::continuable_stream;
}

/// Returns the name used in logs.
std::string_view to_string(call_kind kind) noexcept;

} // namespace marjorampath
