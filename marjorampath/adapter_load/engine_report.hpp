#pragma once

#include <marjorampath/deployment/endpoint_announcement.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath
{

/// An engine's answer to a state query. The state may be several hundred milliseconds
/// old.
struct engine_report
{
    /// The engine.
    endpoint_id endpoint;
    /// Start time of its process, in wall-clock milliseconds.
    std::uint64_t started_at_ms = 0;
    /// Whether it is executing an order for a base model.
    bool is_loading_model = false;
    /// Loaded base models.
    std::vector<std::string> models;
    /// Loaded adapters.
    std::vector<versioned_adapter> adapters;
    /// Adapters being loaded.
    std::vector<versioned_adapter> loading_adapters;
    /// Number of orders that its process has accepted; unset if it does not tell.
    std::optional<std::uint64_t> order_count;
};

} // namespace marjorampath
