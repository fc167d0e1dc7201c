#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/peer/endpoint_usage.hpp>

namespace marjorampath
{

/// Tells an engine's lease holder at once what one host has in flight there.
struct usage_report
{
    /// The sender.
    host_id host;
    /// What it has in flight.
    endpoint_usage usage;
    /// Whether the holder is asked for the engine's `engine_status`.
    bool wants_status = false;
};

} // namespace marjorampath
