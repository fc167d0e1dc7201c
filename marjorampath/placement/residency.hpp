#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/placement/adapter_state.hpp>
#include <marjorampath/placement/endpoint_state.hpp>
#include <marjorampath/placement/kind_state.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace marjorampath
{

/// Which endpoint holds which adapter, with indices by load, by free slots and by what
/// may be evicted. Addresses of its objects stay the same while they exist.
class residency
{
public:
    /// Makes an empty table; the time of a token is the first estimate of each kind.
    explicit residency(duration token_time) noexcept : token_time_(token_time) {}
    residency(residency const&) = delete;
    residency& operator=(residency const&) = delete;

    /// The endpoint, or null where it is unknown.
    [[nodiscard]] endpoint_state* find_endpoint(endpoint_id id) noexcept;

    /// Adds an endpoint that is unknown yet.
    endpoint_state& add_endpoint(endpoint_id id, endpoint_kind_id kind);

    /// Forgets an endpoint without copies and grants.
    void erase_endpoint(endpoint_state& endpoint);

    /// The kind, made where it is unknown.
    kind_state& kind(endpoint_kind_id id);

    /// The adapter of a kind, made where it is unknown.
    adapter_state& adapter(kind_state& kind, adapter_version_id id);

    /// Notes that an endpoint has, or is to have, an adapter.
    adapter_copy& add_copy(endpoint_state& endpoint, adapter_state& adapter,
                           copy_state state, time_point now);

    /// Changes what an endpoint does with an adapter.
    void set_state(endpoint_state& endpoint, adapter_copy& copy, copy_state state,
                   time_point now);

    /// Notes that an endpoint does not have an adapter any more.
    void remove_copy(endpoint_state& endpoint, adapter_state& adapter, time_point now);

    /// Brings the indices up to date after a change of the endpoint's own values.
    void reindex(endpoint_state& endpoint, time_point now);

    /// Brings the index of evictable copies up to date after a change of an adapter's
    /// demand or queue.
    void reindex(adapter_state& adapter);

    /// Brings the index of evictable copies up to date for one copy.
    void reindex(endpoint_state& endpoint, adapter_copy& copy);

    /// All endpoints.
    [[nodiscard]] auto& endpoints() noexcept
    {
        return endpoints_;
    }

    /// All kinds.
    [[nodiscard]] auto& kinds() noexcept
    {
        return kinds_;
    }

    /// Number of adapters.
    [[nodiscard]] std::size_t adapter_count() const noexcept
    {
        return adapters_.size();
    }

    /// Forgets the adapters without copies, queue or recent demand.
    void erase_idle_adapters();

private:
    // Whether a copy may be evicted now
    static bool is_evictable(endpoint_state const& endpoint, adapter_copy const& copy);

    // Position in the order of eviction
    static double eviction_score(adapter_copy const& copy);

    // Counts a copy of a state for its adapter, or takes the count back
    static void count(adapter_copy const& copy, int step);

    // Keeps the sums of the kind
    static void count(endpoint_state& endpoint);

    // First estimate of the time of a token
    duration token_time_;
    // Endpoints by identifier
    std::unordered_map<endpoint_id, endpoint_state> endpoints_;
    // Kinds by identifier
    std::unordered_map<endpoint_kind_id, kind_state> kinds_;
    // Adapters by the combined hash of kind and adapter version
    std::unordered_map<std::uint64_t, adapter_state> adapters_;
};

} // namespace marjorampath
