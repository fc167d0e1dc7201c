#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// How one attempt to run a request at an endpoint ended.
enum class attempt_end : std::uint8_t
{
    /// The answer was received in full.
    finished,
    /// The endpoint ran the request and answered with an error.
    failed,
    /// The endpoint refused the request without running it: it is full or draining, or
    /// the adapter's load has not ended.
    refused,
    /// The endpoint has not loaded the model or adapter.
    adapter_missing,
    /// The address now belongs to a different endpoint.
    another_instance,
    /// No connection could be made; nothing was sent.
    unreachable,
    /// The connection broke before the answer was complete.
    lost,
    /// The answer violated the protocol or belonged to another request.
    invalid_answer,
    /// No answer came in time; this host ended the attempt.
    timed_out,
    /// The caller disconnected or its deadline passed.
    cancelled,
    /// The head of the answer, or a line between its chunks, exceeded the limit.
    oversized_answer,
    /// The connection broke after this host had not read the answer for some time,
    /// because its caller did not read.
    unread
};

/// Returns the name used in logs.
std::string_view to_string(attempt_end value) noexcept;

} // namespace marjorampath
