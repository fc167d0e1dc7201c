#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace marjorampath::test
{

/// Kinds of the soak's requests.
enum class soak_kind : std::uint8_t
{
    /// A stream of an adapter that may be resumed.
    stream,
    /// A request that may run more than once.
    safe,
    /// A request that may run at most once.
    unsafe
};

/// One request of the soak and what its caller saw.
struct soak_request
{
    /// Identifier of the attempt.
    std::string attempt;
    /// Its kind.
    soak_kind kind = soak_kind::safe;
    /// Node that it was sent to.
    std::size_t node = 0;
    /// Adapter of a stream.
    std::string adapter;
    /// Time of the send, in milliseconds of the machine's monotonic clock.
    std::int64_t sent_ms = 0;
    /// Time of the answer's end.
    std::int64_t ended_ms = 0;
    /// Status of the answer; zero where none came.
    unsigned status = 0;
    /// Whether the answer ended as HTTP says that it ends.
    bool ended = false;
    /// Whether its content is this request's answer, whole and in order.
    bool right = false;
};

} // namespace marjorampath::test
