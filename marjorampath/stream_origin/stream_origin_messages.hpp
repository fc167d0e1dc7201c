#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace marjorampath
{

/// A host's question for the origin of a stream that a caller continues there.
struct stream_origin_query
{
    /// Chosen by the sender; the reply repeats it.
    std::uint64_t number = 0;
    /// The stream.
    stream_id stream;
};

/// The reply of a host to such a question.
struct stream_origin_reply
{
    /// Number of the question.
    std::uint64_t number = 0;
    /// Software version of the engine that began the stream; empty if the host does not
    /// know the stream.
    std::optional<std::string> software_version;
};

} // namespace marjorampath
