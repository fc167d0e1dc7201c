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

/// Orders endpoints by a key, and by identifier where the keys are equal.
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
    /// Makes a kind whose first estimate of the time of a token is given.
    explicit kind_state(duration token_time) noexcept : service(token_time) {}

    /// The kind.
    endpoint_kind_id id;
    /// Usable endpoints that run less than they can, by the part that they run.
    std::set<endpoint_order::entry, endpoint_order> by_utilisation;
    /// Usable engines that have a free slot, by the part of their slots taken.
    std::set<endpoint_order::entry, endpoint_order> free_slots;
    /// Copies that may be evicted now, the least wanted first.
    std::set<evictable_copy, evictable_order> evictable;
    /// Number of usable endpoints, ejected ones included.
    std::size_t usable = 0;
    /// Number of usable endpoints whose breaker is open.
    std::size_t ejected = 0;
    /// Sum of the concurrency of usable endpoints.
    std::uint64_t concurrency = 0;
    /// Earliest time at which another copy may be drained so that it can be evicted.
    time_point next_drain{};
    /// What requests without adapter wait for.
    adapter_state* plain = nullptr;
    /// Sum of the weights of teams that have requests queued.
    double backlogged_weight = 0;
    /// Virtual time of the team served last.
    double virtual_time = 0;
    /// Clock by which the demand for its adapters ages.
    demand_clock clock;
    /// Sum of the adapter slots of usable endpoints.
    std::uint64_t slots = 0;
    /// How long runs take.
    service_estimate service;
    /// Requests that must run alone and have no endpoint yet.
    std::deque<pending_request*> isolated_queue;
};

} // namespace marjorampath
