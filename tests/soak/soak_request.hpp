#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace marjorampath::test
{

/// Kinds of requests.
enum class soak_kind : std::uint8_t
{
    /// A resumable stream from an adapter.
    stream,
    /// A request that may run more than once.
    safe,
    /// A request that may run at most once.
    unsafe
};

/// One request and the answer that its caller received.
struct soak_request
{
    /// Identifier of the attempt.
    std::string attempt;
    /// Kind of the request.
    soak_kind kind = soak_kind::safe;
    /// Index of the node that it was sent to.
    std::size_t node = 0;
    /// Organisation of its caller; empty in a deployment without organisations.
    std::string organisation;
    /// Adapter of a stream; empty for other kinds.
    std::string adapter;
    /// Attempt that received the first event of the stream; its own identifier unless it
    /// continues the stream of an earlier attempt.
    std::string stream;
    /// Whether its prompt has the part that crashes engines.
    bool crashes_engines = false;
    /// Last event that the caller had when it sent the request; zero for none.
    std::uint64_t after_event = 0;
    /// Last whole event of its answer; `after_event` if it got none.
    std::uint64_t last_event = 0;
    /// Whether its body has the events after `after_event` in order and nothing else.
    bool only_events = false;
    /// Software versions of the engines that wrote its events.
    std::set<std::string> software;
    /// When it was sent, in milliseconds of the host's monotonic clock.
    std::int64_t sent_ms = 0;
    /// When the answer ended or failed, on the same clock.
    std::int64_t ended_ms = 0;
    /// HTTP status of the answer; zero if none arrived.
    unsigned status = 0;
    /// Whether the answer was received to the end of the HTTP message.
    bool ended = false;
    /// Whether the content is complete, in order and that of this request.
    bool correct = false;
};

} // namespace marjorampath::test
