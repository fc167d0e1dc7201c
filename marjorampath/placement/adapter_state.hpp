#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/limits/load_backoff.hpp>
#include <marjorampath/placement/demand_estimate.hpp>
#include <marjorampath/placement/request_queue.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

struct endpoint_state;
struct kind_state;

/// One adapter version of a kind of engine; of plain services, the one without adapter.
struct adapter_state
{
    /// The adapter version; empty for plain services.
    adapter_version_id id;
    /// Kind of the endpoints that run it.
    kind_state* kind = nullptr;
    /// Requests that wait for it.
    request_queue queue;
    /// Requests that wait for it and must run alone; these are not in the queue.
    std::size_t isolated_count = 0;
    /// Endpoints that hold it, load it or unload it.
    std::vector<endpoint_state*> places;
    /// Number of places that hold it.
    std::uint32_t resident = 0;
    /// Number of places that load it or are about to.
    std::uint32_t loading = 0;
    /// Whether it is in the list of adapters that want a load.
    bool wanted = false;
    /// Planning round in which no place was found for it.
    std::uint64_t skipped_in_round = 0;
    /// Known requests that name it, waiting or granted.
    std::size_t references = 0;
    /// How often it is asked for.
    demand_estimate demand;
    /// Pauses after failed loads.
    load_backoff backoff;

    /// Whether requests wait for it.
    [[nodiscard]] bool awaited() const noexcept
    {
        return !queue.empty() || isolated_count > 0;
    }

    /// Whether requests need a place that holds it.
    [[nodiscard]] bool needs_load() const noexcept
    {
        return static_cast<bool>(id);
    }
};

} // namespace marjorampath
