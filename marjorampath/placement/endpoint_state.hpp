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

/// An adapter that an engine has unloaded.
struct recent_unload
{
    /// The adapter version.
    adapter_version_id adapter;
    /// Time of the unload.
    time_point when;
};

/// What a cell knows of an endpoint.
struct endpoint_state
{
    /// The endpoint.
    endpoint_id id;
    /// Its kind.
    kind_state* kind = nullptr;
    /// Its zone.
    zone_id zone;
    /// Rises with every restart.
    std::uint64_t boot_number = 0;
    /// Rises when all that ran here is lost, so that late releases are told apart.
    std::uint64_t epoch = 0;
    /// Number of adapters that it holds at once; zero for plain services.
    std::uint32_t slots = 0;
    /// Number of requests that it runs at once.
    std::uint32_t concurrency = 1;
    /// Number of requests that run in this boot.
    std::uint32_t running = 0;
    /// Number of granted requests that were not released, of any boot.
    std::uint32_t grants = 0;
    /// Whether it must get no new work.
    bool leaving = false;
    /// Whether it answers.
    bool reachable = true;
    /// Whether it is still listed.
    bool listed = true;
    /// Request that the endpoint is kept free for or that runs alone on it, or null.
    pending_request* alone = nullptr;
    /// Adapters in its slots.
    std::vector<adapter_copy> copies;
    /// Holds requests back after failures.
    circuit_breaker breaker;
    /// Prompt prefixes that it probably has in its cache.
    prefix_cache_estimate prefixes;
    /// Whether the sums of its kind count it.
    bool counted = false;
    /// Its part of the sum of concurrency of its kind.
    std::uint32_t counted_concurrency = 0;
    /// Its part of the sum of slots of its kind.
    std::uint32_t counted_slots = 0;
    /// Whether its copies get no requests since it was ejected or did not answer.
    bool grants_suspended = false;
    /// Whether the sums of its kind count it as ejected.
    bool counted_ejected = false;
    /// Its key in the index of endpoints by load; negative where it is not in the index.
    double utilisation_key = -1;
    /// Its key in the index of engines with free slots; negative where it is not in it.
    double slots_key = -1;
    /// Adapters unloaded lately, which a lagging report may still list.
    std::vector<recent_unload> unloads;

    /// Whether it takes new work, its breaker aside.
    [[nodiscard]] bool usable() const noexcept
    {
        return listed && reachable && !leaving && alone == nullptr;
    }

    /// Whether one more request may be granted now.
    [[nodiscard]] bool has_capacity(time_point now) const noexcept
    {
        return usable() && running < concurrency && breaker.allows(now);
    }

    /// Part of its concurrency that is used.
    [[nodiscard]] double fill() const noexcept
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
