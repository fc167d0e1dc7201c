#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath
{

/// A base model that the engines of a service can hold.
struct model_definition
{
    /// Name that requests carry.
    std::string name;
};

/// What the engines of a service are able to do.
struct engine_definition
{
    /// Requests that one engine runs at a time.
    std::uint32_t slots = 1;
    /// Tokens that fit into one engine's cache of keys and values.
    std::uint64_t cache_tokens = 0;
    /// Adapters that one engine holds at a time, those in transit included.
    std::uint32_t adapter_slots = 0;
    /// Models of the service.
    std::vector<model_definition> models;
};

/// A service that routes lead to.
struct service_definition
{
    /// Hash of the name.
    service_id id;
    /// Name, for logs.
    std::string name;
    /// Connections that one endpoint accepts from all callers together.
    std::uint32_t max_connections = 64;
    /// Set where the endpoints are model engines.
    std::optional<engine_definition> engine;
};

} // namespace marjorampath
