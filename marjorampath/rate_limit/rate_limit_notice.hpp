#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <optional>

namespace marjorampath
{

/// What an endpoint's answer said about the request rate that it accepts from all hosts
/// together.
struct rate_limit_notice
{
    /// The endpoint.
    endpoint_id endpoint;
    /// Start time of its process, in wall-clock milliseconds.
    std::uint64_t started_at_ms = 0;
    /// Requests per second; empty if the answer named no limit.
    std::optional<double> rate;
    /// Time since the answer arrived; for an answer without a limit, time since its
    /// request was sent.
    duration age{0};
};

} // namespace marjorampath
