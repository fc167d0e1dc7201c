#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

struct adapter_state;

/// What an engine does with an adapter.
enum class copy_state
{
    /// The load was ordered.
    loading,
    /// The engine holds it.
    resident,
    /// The engine holds it and it gets no new requests, so that it can be evicted.
    draining,
    /// The unload was ordered.
    unloading
};

/// One adapter at one engine; takes one slot.
struct adapter_copy
{
    /// The adapter.
    adapter_state* adapter = nullptr;
    /// What the engine does with it.
    copy_state state = copy_state::loading;
    /// Requests that run with it.
    std::uint32_t running = 0;
    /// Time of the last change of state.
    time_point changed;
    /// The adapter whose load follows the unload of this one, or null.
    adapter_state* successor = nullptr;
    /// Whether its requests go first, so that it can be evicted when none is left.
    bool drain_queue_first = false;
    /// Whether the engine said that it does not have it, while others still ran with it.
    bool missing = false;
    /// Whether it is in the index of evictable copies.
    bool indexed = false;
    /// Its place in the index of evictable copies.
    double score = 0;
};

} // namespace marjorampath
