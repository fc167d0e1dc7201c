#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <string>

namespace marjorampath
{

/// One row of the sheet's `endpoint_kinds` table: what all endpoints of a kind share.
struct endpoint_kind
{
    /// Hash of the name.
    endpoint_kind_id id;
    /// Name that the host list uses.
    std::string name;
    /// Name of the base model; empty for plain services.
    std::string base_model;
    /// Number of adapters that an engine holds at once; zero for plain services.
    std::uint32_t adapter_slots = 0;
    /// Number of requests that an endpoint runs at once.
    std::uint32_t concurrency = 1;
    /// Whether the endpoint refuses an order that carries an old fencing number.
    bool checks_fence = false;
};

} // namespace marjorampath
