#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// State of an adapter at an engine, as known to the engine's lease holder.
struct adapter_status
{
    /// `MODEL/ADAPTER`.
    std::string name;
    /// Version; zero if unknown.
    std::uint64_t version = 0;
    /// Expected time until its load ends; zero if it is loaded.
    duration ready_in{0};
    /// Number of recent requests for it; each counts less as it ages.
    double requests = 0;
};

/// State of an engine, which its lease holder sends to the other hosts.
struct engine_status
{
    /// The engine.
    endpoint_id endpoint;
    /// Start time of its process, in wall-clock milliseconds.
    std::uint64_t started_at_ms = 0;
    /// Whether the lease holder may send orders to the engine now.
    bool accepts_orders = false;
    /// Time until the takeover delay of the lease ends; zero if orders are not blocked by
    /// it.
    duration accepts_orders_in{0};
    /// Free adapter slots.
    std::uint32_t free_adapter_slots = 0;
    /// Requests in flight, from all hosts.
    std::uint32_t in_flight = 0;
    /// Prompt tokens of requests without a first answer token, from all hosts.
    std::uint64_t waiting_tokens = 0;
    /// Prompt tokens and maximum answer tokens of requests in flight, from all hosts.
    std::uint64_t tokens = 0;
    /// Loaded base models.
    std::vector<std::string> models;
    /// Loaded and loading adapters.
    std::vector<adapter_status> adapters;
};

} // namespace marjorampath
