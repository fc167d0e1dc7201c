#pragma once

#include <marjorampath/core/identifier.hpp>

#include <string>

namespace marjorampath
{

/// The software version of the engine that began a stream.
struct stream_origin
{
    /// The stream, by the caller's attempt that received its first event.
    stream_id stream;
    /// Version of the engine's software.
    std::string software_version;
};

} // namespace marjorampath
