#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

struct adapter_state;

/// State of an adapter at an engine.
enum class copy_state
{
    /// The load was ordered.
    loading,
    /// The engine holds it and it gets requests.
    resident,
    /// The engine holds it, but it gets no new requests, before its eviction or while the
    /// endpoint is not usable.
    draining,
    /// The unload was ordered.
    unloading
};

/// One adapter at one engine; occupies one adapter slot.
struct adapter_copy
{
    /// The adapter.
    adapter_state* adapter = nullptr;
    /// State of the copy.
    copy_state state = copy_state::loading;
    /// Number of running requests that use it.
    std::uint32_t running = 0;
    /// Time of the last change of state.
    time_point changed;
    /// Adapter to load into the slot after this one is unloaded, or null.
    adapter_state* successor = nullptr;
    /// Whether the adapter's queued requests run before others at this engine, so that
    /// the copy can be evicted once none is left.
    bool drain_queue_first = false;
    /// Whether the engine refused a request for lack of the adapter while other requests
    /// that use it still run; the copy is removed when they end.
    bool missing = false;
    /// Whether it is in the index of evictable copies.
    bool indexed = false;
    /// Its key in the index of evictable copies.
    double score = 0;
};

} // namespace marjorampath
