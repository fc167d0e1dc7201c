#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// How the run of a granted request ended.
enum class release_reason
{
    /// The endpoint gave the whole answer.
    finished,
    /// The caller went away or the deadline passed; the run was cancelled.
    cancelled,
    /// The endpoint refused it before running it.
    refused,
    /// The endpoint does not have the adapter, contrary to what was granted.
    adapter_missing,
    /// The endpoint or the connection to it failed.
    endpoint_lost
};

/// An entry host's report that a granted request no longer runs.
struct release_report
{
    /// The request that ended.
    request_id request;
    /// Endpoint that it ran at.
    endpoint_id endpoint;
    /// How it ended.
    release_reason reason = release_reason::finished;
    /// Number of tokens generated.
    std::uint32_t tokens = 0;
};

} // namespace marjorampath
