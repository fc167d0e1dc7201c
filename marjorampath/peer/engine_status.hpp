#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// An adapter of an engine, as its lease holder knows it.
struct adapter_status
{
    /// `MODEL/ADAPTER`.
    std::string name;
    /// Version; zero where not known.
    std::uint64_t version = 0;
    /// Time until its load ends; zero where it is there.
    duration ready_in{0};
    /// Requests for it in the last seconds.
    double requests = 0;
};

/// An engine, as the host that holds its lease tells the other hosts.
struct engine_status
{
    /// The engine.
    endpoint_id endpoint;
    /// Start of its process.
    std::uint64_t started_at_ms = 0;
    /// Whether the holder may give orders now.
    bool accepts_orders = false;
    /// Where it may not: time until it expects to.
    duration accepts_orders_in{0};
    /// Places for further adapters.
    std::uint32_t free_adapter_slots = 0;
    /// Requests in flight there from all hosts.
    std::uint32_t in_flight = 0;
    /// Prompt tokens that wait there, from all hosts.
    std::uint64_t waiting_tokens = 0;
    /// Tokens of prompts and answers in flight there, from all hosts.
    std::uint64_t tokens = 0;
    /// Base models that it holds.
    std::vector<std::string> models;
    /// Adapters that it holds or loads.
    std::vector<adapter_status> adapters;
};

} // namespace marjorampath
