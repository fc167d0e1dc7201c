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

/// Records which endpoint holds which adapter, with indices of endpoints by utilisation
/// and by free adapter slots, and of evictable copies. Endpoints, kinds and adapters have
/// stable addresses; copies do not.
class residency
{
public:
    /// Makes an empty table; `token_time` is each kind's initial estimate of the time per
    /// token.
    explicit residency(duration token_time) noexcept : token_time_(token_time) {}
    residency(residency const&) = delete;
    residency& operator=(residency const&) = delete;

    /// The endpoint, or null if it is unknown.
    [[nodiscard]] endpoint_state* find_endpoint(endpoint_id id) noexcept;

    /// Adds an unknown endpoint.
    endpoint_state& add_endpoint(endpoint_id id, endpoint_kind_id kind);

    /// Erases an unlisted endpoint without copies and grants.
    void erase_endpoint(endpoint_state& endpoint);

    /// The kind; added if it is unknown.
    kind_state& kind(endpoint_kind_id id);

    /// The adapter of a kind; added if it is unknown.
    adapter_state& adapter(kind_state& kind, adapter_version_id id);

    /// Adds a copy of an adapter that an endpoint holds or loads.
    adapter_copy& add_copy(endpoint_state& endpoint, adapter_state& adapter,
                           copy_state state, time_point now);

    /// Changes the state of a copy.
    void set_state(endpoint_state& endpoint, adapter_copy& copy, copy_state state,
                   time_point now);

    /// Removes the copy of an adapter at an endpoint.
    void remove_copy(endpoint_state& endpoint, adapter_state& adapter, time_point now);

    /// Updates the indices of endpoints after a change of the endpoint's own values.
    void reindex(endpoint_state& endpoint, time_point now);

    /// Updates the index of evictable copies after a change of an adapter's demand or
    /// queue.
    void reindex(adapter_state& adapter);

    /// Updates the index of evictable copies for one copy.
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

    /// Erases adapters without copies, requests and recent demand.
    void erase_idle_adapters();

private:
    // Whether a copy may be evicted now
    static bool is_evictable(endpoint_state const& endpoint, adapter_copy const& copy);

    // Key in the order of eviction; lower is evicted first
    static double eviction_score(adapter_copy const& copy);

    // Adds `step` to the adapter's count of copies in the copy's state
    static void count(adapter_copy const& copy, int step);

    // Updates the sums of the endpoint's kind
    static void count(endpoint_state& endpoint);

    // Initial estimate of the time per token
    duration token_time_;
    // Endpoints by identifier
    std::unordered_map<endpoint_id, endpoint_state> endpoints_;
    // Kinds by identifier
    std::unordered_map<endpoint_kind_id, kind_state> kinds_;
    // Adapters by the combined hash of kind and adapter version
    std::unordered_map<std::uint64_t, adapter_state> adapters_;
};

} // namespace marjorampath
