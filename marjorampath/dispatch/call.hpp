#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/call_kind.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marjorampath
{

/// One part of a prompt. Requests can have parts in common, which engines cache.
struct prompt_part
{
    /// Identifies the part's text.
    std::uint64_t id = 0;
    /// Length, in tokens.
    std::uint32_t tokens = 0;
};

/// The properties of a caller's request that dispatching depends on.
struct call
{
    request_id id;
    /// Service that should run the request.
    service_id service;
    /// Whether it may be repeated, and whether it is answered by a stream.
    call_kind kind = call_kind::unsafe;
    /// Base model; empty for a plain service.
    std::string model;
    /// `MODEL/ADAPTER`; empty if no adapter is needed.
    std::string adapter;
    /// Length of the prompt, in tokens.
    std::uint32_t prompt_tokens = 0;
    /// Maximum length of the answer, in tokens.
    std::uint32_t output_tokens = 0;
    /// Parts of the prompt, in order; the last one is unique to the request.
    std::vector<prompt_part> parts;
    /// Priority; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Latency objective, as in the route.
    duration objective = std::chrono::seconds(1);
    /// When the request was read.
    time_point arrived;
    /// Software version of the endpoint that must run it, because that version began the
    /// stream; empty for any.
    std::optional<std::string> software_version;
    /// When the caller's deadline or the timeout of the route ends, whichever is earlier.
    time_point deadline;
    /// Hash of the `Host` field, the request target and the body; equal if the same
    /// request is sent again.
    fingerprint_id fingerprint;
};

/// Key of a cached prompt part at an engine. Engines cache parts per model or adapter.
std::uint64_t part_key(call const& request, prompt_part const& part);

/// The parts of a prompt that other requests may have too: all but the last one.
std::span<prompt_part const> shared_parts(call const& request);

} // namespace marjorampath
