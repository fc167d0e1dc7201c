#pragma once

#include <marjorampath/deployment/endpoint_announcement.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// What an engine answers when it is asked for its state. Some hundred milliseconds old.
struct engine_report
{
    /// The engine.
    endpoint_id endpoint;
    /// Start of its process, in wall-clock milliseconds.
    std::uint64_t started_at_ms = 0;
    /// Whether it carries out an order about a base model.
    bool busy = false;
    /// Base models that it holds.
    std::vector<std::string> models;
    /// Adapters that it holds.
    std::vector<versioned_adapter> adapters;
    /// Adapters that are on their way to it.
    std::vector<versioned_adapter> coming;
};

} // namespace marjorampath
