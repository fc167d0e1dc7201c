#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/limits/service_estimate.hpp>
#include <marjorampath/placement/demand_clock.hpp>
#include <marjorampath/placement/endpoint_state.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>
#include <vector>

namespace marjorampath
{

/// Orders endpoints by a key, then by identifier.
struct endpoint_order
{
    /// A key and an endpoint.
    using entry = std::pair<double, endpoint_state*>;

    /// Whether one entry goes before another.
    bool operator()(entry const& left, entry const& right) const noexcept
    {
        if (left.first != right.first)
            return left.first < right.first;
        return left.second->id < right.second->id;
    }
};

/// An endpoint's copy of an adapter in the index of evictable copies.
struct evictable_copy
{
    /// Lower is evicted first.
    double score = 0;
    /// The endpoint.
    endpoint_state* endpoint = nullptr;
    /// The adapter.
    adapter_state* adapter = nullptr;
};

/// Orders evictable copies by score.
struct evictable_order
{
    /// Whether one copy is evicted before another.
    bool operator()(evictable_copy const& left,
                    evictable_copy const& right) const noexcept;
};

/// The endpoints of one kind.
struct kind_state
{
    /// Makes a kind with an initial estimate of the time per token.
    explicit kind_state(duration token_time) noexcept : service(token_time) {}

    /// The kind.
    endpoint_kind_id id;
    /// Endpoints with capacity, by utilisation.
    std::set<endpoint_order::entry, endpoint_order> by_utilisation;
    /// Engines that accept requests and have a free adapter slot, by the fraction of
    /// slots in use.
    std::set<endpoint_order::entry, endpoint_order> free_slots;
    /// Copies that may be evicted now, least demand first.
    std::set<evictable_copy, evictable_order> evictable;
    /// Number of usable endpoints: listed, reachable and not leaving. Includes ejected
    /// and reserved ones.
    std::size_t usable = 0;
    /// Number of usable endpoints whose breaker is open.
    std::size_t ejected = 0;
    /// Sum of the concurrency of usable endpoints.
    std::uint64_t concurrency = 0;
    /// Earliest time at which another copy may be drained so that it can be evicted.
    time_point next_drain{};
    /// Adapter entry for requests without adapter.
    adapter_state* without_adapter = nullptr;
    /// Sum of the weights of teams that have requests queued.
    double backlogged_weight = 0;
    /// Virtual time of the team served last.
    double virtual_time = 0;
    /// Clock for the ageing of its adapters' demand.
    demand_clock clock;
    /// Sum of the adapter slots of usable endpoints.
    std::uint64_t slots = 0;
    /// Estimate of the service time.
    service_estimate service;
    /// Queued isolated requests, in order of arrival.
    std::deque<pending_request*> isolated_queue;
};

} // namespace marjorampath
