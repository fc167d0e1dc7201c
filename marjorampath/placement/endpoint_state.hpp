#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/limits/circuit_breaker.hpp>
#include <marjorampath/placement/adapter_copy.hpp>
#include <marjorampath/placement/prefix_cache_estimate.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

struct kind_state;
struct pending_request;

/// An adapter that an engine unloaded recently.
struct recent_unload
{
    /// The adapter version.
    adapter_version_id adapter;
    /// Time of the unload.
    time_point when;
};

/// A cell's state of an endpoint.
struct endpoint_state
{
    /// The endpoint.
    endpoint_id id;
    /// Its endpoint kind.
    kind_state* kind = nullptr;
    /// Its availability zone.
    zone_id zone;
    /// Increases with every restart; zero where the endpoint reports none.
    std::uint64_t boot_number = 0;
    /// Increases when all running requests are lost, so that their late releases can be
    /// recognised.
    std::uint64_t epoch = 0;
    /// Number of adapter slots; zero for plain services.
    std::uint32_t slots = 0;
    /// Largest number of requests that it runs at once.
    std::uint32_t concurrency = 1;
    /// Number of requests that run in the current epoch.
    std::uint32_t running = 0;
    /// Number of granted requests not yet released, of any epoch.
    std::uint32_t grants = 0;
    /// Whether it is shutting down and must get no new requests.
    bool leaving = false;
    /// Whether it can be reached.
    bool reachable = true;
    /// Whether the list of endpoints still contains it.
    bool listed = true;
    /// Isolated request that the endpoint is reserved for or that runs on it, or null.
    pending_request* isolated_request = nullptr;
    /// Copies in its adapter slots.
    std::vector<adapter_copy> copies;
    /// Stops requests after repeated failures.
    circuit_breaker breaker;
    /// Estimate of the prompt prefixes in its cache.
    prefix_cache_estimate prefixes;
    /// Whether it is counted in the sums of its kind.
    bool counted = false;
    /// Its contribution to the concurrency of its kind.
    std::uint32_t counted_concurrency = 0;
    /// Its contribution to the adapter slots of its kind.
    std::uint32_t counted_slots = 0;
    /// Whether its copies get no requests. Set when the endpoint is ejected, leaving or
    /// unreachable; cleared by a finished request, at the end of the ejection, on a
    /// restart, or when a report shows the endpoint usable.
    bool grants_suspended = false;
    /// Whether it is counted as ejected in the sums of its kind.
    bool counted_ejected = false;
    /// Its key in the index of endpoints by utilisation; negative if it is not in the
    /// index.
    double utilisation_key = -1;
    /// Its key in the index of engines with free adapter slots; negative if not in the
    /// index.
    double slots_key = -1;
    /// Recently unloaded adapters, which a lagging report may still list.
    std::vector<recent_unload> unloads;

    /// Whether it accepts new requests, apart from its circuit breaker.
    [[nodiscard]] bool accepts_requests() const noexcept
    {
        return listed && reachable && !leaving && isolated_request == nullptr;
    }

    /// Whether one more request may be granted now.
    [[nodiscard]] bool has_capacity(time_point now) const noexcept
    {
        return accepts_requests() && running < concurrency && breaker.allows(now);
    }

    /// Fraction of its concurrency in use, in [0, 1].
    [[nodiscard]] double utilisation() const noexcept
    {
        return static_cast<double>(running) / concurrency;
    }

    /// The copy of an adapter, or null.
    [[nodiscard]] adapter_copy* find(adapter_state const* adapter) noexcept
    {
        for (auto& copy : copies)
            if (copy.adapter == adapter)
                return &copy;
        return nullptr;
    }
};

} // namespace marjorampath
