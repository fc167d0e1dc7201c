#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/peer/endpoint_usage.hpp>

namespace marjorampath
{

/// Message to an engine's lease holder about a host's requests in flight, sent without
/// waiting for the next heartbeat.
struct usage_report
{
    /// The sender.
    host_id host;
    /// Its requests in flight.
    endpoint_usage usage;
    /// Whether the lease holder should reply with the engine's `engine_status`.
    bool wants_status = false;
};

} // namespace marjorampath
