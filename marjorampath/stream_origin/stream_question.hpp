#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace marjorampath
{

/// A stream whose origin no host remembers.
struct stream_question
{
    /// Its service.
    service_id service;
    /// Last part of its prompt, which only the stream or its session has; zero if it has
    /// no parts.
    std::uint64_t part = 0;
    /// Time before which the stream cannot have begun.
    time_point began_after;
};

/// What one kind of evidence says about the origin of such a stream.
struct origin_judgement
{
    /// The software version that began the stream; empty if that is not certain.
    std::optional<std::string> software_version;
    /// Whether answers are awaited that may make it certain.
    bool pending = false;
};

} // namespace marjorampath
