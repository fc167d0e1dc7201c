#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/call_kind.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// One part of a prompt; requests share parts.
struct prompt_part
{
    /// Identifier of the part's text.
    std::uint64_t id = 0;
    /// Size, in tokens.
    std::uint32_t tokens = 0;
};

/// What the dispatcher has to know of a caller's request.
struct call
{
    /// Identifier of the request.
    request_id id;
    /// Service that runs it.
    service_id service;
    /// What may be repeated.
    call_kind kind = call_kind::unsafe;
    /// Base model; empty at a plain service.
    std::string model;
    /// `MODEL/ADAPTER`; empty where the base model answers.
    std::string adapter;
    /// Size of the prompt, in tokens.
    std::uint32_t prompt_tokens = 0;
    /// Largest size of the answer, in tokens.
    std::uint32_t output_tokens = 0;
    /// Parts of the prompt, in order; the last one is the request's own.
    std::vector<prompt_part> parts;
    /// Rank; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Latency objective.
    duration objective = std::chrono::seconds(1);
    /// Time at which it was read.
    time_point arrived;
    /// Time at which the caller or the route gives up.
    time_point deadline;
    /// Hash of path, caller's host name and body: equal for the same request sent again.
    fingerprint_id fingerprint;
};

/// Identifies a cached part of a prompt at an engine: parts are kept by model or adapter.
std::uint64_t part_key(call const& request, prompt_part const& part);

} // namespace marjorampath
