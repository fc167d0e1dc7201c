#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/limits/exponential_backoff.hpp>
#include <marjorampath/placement/demand_estimate.hpp>
#include <marjorampath/placement/request_queue.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

struct endpoint_state;
struct kind_state;

/// An adapter version at the endpoints of one kind. Requests without adapter use the
/// entry with an empty id.
struct adapter_state
{
    /// The adapter version; empty for plain services.
    adapter_version_id id;
    /// Kind of the endpoints that run it.
    kind_state* kind = nullptr;
    /// Queued requests, except isolated ones.
    request_queue queue;
    /// Number of queued isolated requests; these are not in `queue`.
    std::size_t isolated_count = 0;
    /// Endpoints with a copy of it in any state.
    std::vector<endpoint_state*> endpoints;
    /// Number of copies in state `resident`.
    std::uint32_t resident = 0;
    /// Number of copies in state `loading`, plus the unloads after which this adapter
    /// will be loaded into the freed slot.
    std::uint32_t loading = 0;
    /// Whether it is in the list of adapters that await a load.
    bool awaiting_load = false;
    /// Latest planning round in which no engine was found for it.
    std::uint64_t skipped_in_round = 0;
    /// Number of queued and granted requests for it.
    std::size_t references = 0;
    /// Frequency of requests for it.
    demand_estimate demand;
    /// Back-off after failed loads.
    exponential_backoff backoff;

    /// Whether requests for it are queued.
    [[nodiscard]] bool has_queued_requests() const noexcept
    {
        return !queue.empty() || isolated_count > 0;
    }

    /// Whether it must be loaded before requests can run; false for requests without
    /// adapter.
    [[nodiscard]] bool needs_load() const noexcept
    {
        return static_cast<bool>(id);
    }
};

} // namespace marjorampath
