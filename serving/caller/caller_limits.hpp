#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath::serving
{

/// Bounds of what callers may send.
struct caller_limits
{
    /// Largest head of a request, in bytes.
    std::uint32_t max_head_bytes = 16'384;
    /// Largest body of a request, in bytes.
    std::uint64_t max_body_bytes = 8'388'608;
    /// Largest whole answer of an engine that is held until it is complete, in bytes.
    std::size_t max_whole_answer_bytes = 8'388'608;
    /// Time after which a connection without a request is closed.
    duration idle_timeout = std::chrono::seconds(75);
    /// Time within which a request must have been received whole.
    duration receive_timeout = std::chrono::seconds(30);
    /// Largest number of callers' connections of one traffic thread.
    std::size_t max_connections = 20'000;
    /// Largest number of attempts of one request.
    std::uint32_t max_attempts = 4;
    /// Longest deadline that a caller may ask for.
    duration max_deadline = std::chrono::minutes(10);
};

} // namespace marjorampath::serving
