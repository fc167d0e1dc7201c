#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <string>

namespace marjorampath
{

/// One row of the sheet's `endpoint_kinds` table: the common properties of a kind of
/// endpoint.
struct endpoint_kind
{
    /// Hash of the name.
    endpoint_kind_id id;
    /// Name, as used in the host list.
    std::string name;
    /// Name of the base model; empty for plain services.
    std::string base_model;
    /// Number of adapters that an engine can keep loaded; zero for plain services.
    std::uint32_t adapter_slots = 0;
    /// Number of requests that an endpoint runs concurrently.
    std::uint32_t concurrency = 1;
    /// Whether the endpoint rejects orders with an outdated fencing number.
    bool checks_fence = false;
};

} // namespace marjorampath
