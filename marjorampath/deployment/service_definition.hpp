#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath
{

/// A base model that the engines of a service can load.
struct model_definition
{
    /// Name, as in requests.
    std::string name;
};

/// Capacity of a service's engines.
struct engine_definition
{
    /// Number of requests that one engine runs concurrently.
    std::uint32_t slots = 1;
    /// Capacity of one engine's key-value cache, in tokens.
    std::uint64_t cache_tokens = 0;
    /// Number of adapters that one engine can hold, including those being loaded.
    std::uint32_t adapter_slots = 0;
    /// Base models of the service.
    std::vector<model_definition> models;
};

/// A service that routes can refer to.
struct service_definition
{
    /// Hash of the name.
    service_id id;
    /// Name, for logs.
    std::string name;
    /// Connections that one endpoint accepts in total, from all hosts.
    std::uint32_t max_connections = 64;
    /// Set where the endpoints are model engines.
    std::optional<engine_definition> engine;
};

} // namespace marjorampath
