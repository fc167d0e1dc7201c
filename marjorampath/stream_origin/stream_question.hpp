#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/stream_origin/stream_begin.hpp>

#include <cstdint>

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
    /// When it began.
    stream_begin begin;
};

} // namespace marjorampath
