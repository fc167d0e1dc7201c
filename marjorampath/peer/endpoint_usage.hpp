#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// Use of one adapter by one host.
struct adapter_usage
{
    /// `MODEL/ADAPTER`.
    std::string name;
    /// Requests in flight.
    std::uint32_t in_flight = 0;
    /// Requests sent since the last report.
    std::uint32_t sent = 0;
};

/// A host's requests in flight at an endpoint.
struct endpoint_usage
{
    /// The endpoint.
    endpoint_id endpoint;
    /// Requests in flight.
    std::uint32_t in_flight = 0;
    /// Prompt tokens of requests without a first answer token.
    std::uint64_t waiting_tokens = 0;
    /// Sum of prompt tokens and maximum answer tokens of requests in flight.
    std::uint64_t tokens = 0;
    /// Adapters in use; set only in reports to the engine's lease holder.
    std::vector<adapter_usage> adapters;
};

} // namespace marjorampath
