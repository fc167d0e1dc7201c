#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath::serving
{

/// Limits on callers' connections and requests.
struct caller_limits
{
    /// Maximum size of a request's head, in bytes.
    std::uint32_t max_head_bytes = 16'384;
    /// Maximum size of a request's body, in bytes.
    std::uint64_t max_body_bytes = 8'388'608;
    /// Maximum size of an engine's non-streamed answer, in bytes; such an answer is
    /// buffered until it is complete.
    std::size_t max_whole_answer_bytes = 8'388'608;
    /// Maximum time for receiving the head of a request, from its first byte.
    duration head_timeout = std::chrono::seconds(10);
    /// Time after which a connection with no request in progress is closed.
    duration idle_timeout = std::chrono::seconds(75);
    /// Maximum time for receiving a complete request, and for sending an answer that is
    /// not streamed.
    duration receive_timeout = std::chrono::seconds(30);
    /// Maximum number of callers' connections per traffic thread, besides the places of
    /// a resource budget.
    std::size_t max_connections = 20'000;
    /// Maximum number of attempts per request.
    std::uint32_t max_attempts = 4;
    /// Maximum deadline of a request; a longer one is shortened to it.
    duration max_deadline = std::chrono::minutes(10);
};

} // namespace marjorampath::serving
