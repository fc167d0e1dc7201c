#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// How the run of a granted request ended.
enum class release_reason
{
    /// The endpoint sent the complete answer.
    finished,
    /// The run was cancelled, since the caller disconnected or the deadline passed.
    cancelled,
    /// The endpoint refused it before running it.
    refused,
    /// The endpoint does not hold the adapter that the grant assumed.
    adapter_missing,
    /// The endpoint or the connection to it failed.
    endpoint_lost
};

/// An entry host's report that a granted request has ended.
struct release_report
{
    /// The request that ended.
    request_id request;
    /// Endpoint at which it ran.
    endpoint_id endpoint;
    /// How it ended.
    release_reason reason = release_reason::finished;
    /// Number of tokens generated.
    std::uint32_t tokens = 0;
};

} // namespace marjorampath
