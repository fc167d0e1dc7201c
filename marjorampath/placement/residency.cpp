#include <marjorampath/core/hash.hpp>
#include <marjorampath/placement/residency.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjorampath
{

bool evictable_order::operator()(evictable_copy const& left,
                                 evictable_copy const& right) const noexcept
{
    if (left.score != right.score)
        return left.score < right.score;
    if (left.endpoint->id != right.endpoint->id)
        return left.endpoint->id < right.endpoint->id;
    return left.adapter->id < right.adapter->id;
}

endpoint_state* residency::find_endpoint(endpoint_id id) noexcept
{
    auto const found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

endpoint_state& residency::add_endpoint(endpoint_id id, endpoint_kind_id kind_id)
{
    auto& added = endpoints_[id];
    added.id = id;
    added.kind = &kind(kind_id);
    return added;
}

void residency::erase_endpoint(endpoint_state& endpoint)
{
    assert(endpoint.copies.empty() && endpoint.grants == 0 && !endpoint.listed);
    assert(endpoint.utilisation_key < 0 && endpoint.slots_key < 0);
    endpoints_.erase(endpoint.id);
}

kind_state& residency::kind(endpoint_kind_id id)
{
    auto const found = kinds_.find(id);
    if (found != kinds_.end())
        return found->second;
    auto& added = kinds_.try_emplace(id, token_time_).first->second;
    added.id = id;
    added.without_adapter = &adapter(added, {});
    return added;
}

adapter_state& residency::adapter(kind_state& kind, adapter_version_id id)
{
    auto& found = adapters_[hash_combine(kind.id.number(), id.number())];
    found.id = id;
    found.kind = &kind;
    return found;
}

adapter_copy& residency::add_copy(endpoint_state& endpoint, adapter_state& adapter,
                                  copy_state state, time_point now)
{
    assert(endpoint.find(&adapter) == nullptr);
    auto& copy = endpoint.copies.emplace_back();
    copy.adapter = &adapter;
    copy.state = state;
    copy.changed = now;
    adapter.endpoints.push_back(&endpoint);
    count(copy, +1);
    reindex(adapter);
    reindex(endpoint, now);
    return copy;
}

void residency::set_state(endpoint_state& endpoint, adapter_copy& copy, copy_state state,
                          time_point now)
{
    count(copy, -1);
    copy.state = state;
    copy.changed = now;
    count(copy, +1);

    // The eviction scores of the other copies depend on the number of resident copies
    reindex(*copy.adapter);
    reindex(endpoint, now);
}

void residency::remove_copy(endpoint_state& endpoint, adapter_state& adapter,
                            time_point now)
{
    auto const found =
        std::find_if(endpoint.copies.begin(), endpoint.copies.end(),
                     [&](auto const& copy) { return copy.adapter == &adapter; });
    assert(found != endpoint.copies.end());
    if (found->indexed)
        endpoint.kind->evictable.erase({found->score, &endpoint, &adapter});
    count(*found, -1);
    endpoint.copies.erase(found);
    std::erase(adapter.endpoints, &endpoint);
    reindex(adapter);
    reindex(endpoint, now);
}

void residency::count(adapter_copy const& copy, int step)
{
    if (copy.state == copy_state::resident)
        copy.adapter->resident += static_cast<std::uint32_t>(step);
    if (copy.state == copy_state::loading)
        copy.adapter->loading += static_cast<std::uint32_t>(step);
}

void residency::count(endpoint_state& endpoint)
{
    auto& kind = *endpoint.kind;
    auto const counted = endpoint.listed && endpoint.reachable && !endpoint.leaving;
    auto const ejected = counted && endpoint.breaker.open();
    auto const concurrency = counted ? endpoint.concurrency : 0;

    kind.usable -= endpoint.counted ? 1 : 0;
    kind.usable += counted ? 1 : 0;
    kind.ejected -= endpoint.counted_ejected ? 1 : 0;
    kind.ejected += ejected ? 1 : 0;
    kind.concurrency -= endpoint.counted_concurrency;
    kind.concurrency += concurrency;
    kind.slots -= endpoint.counted_slots;
    endpoint.counted_slots = counted ? endpoint.slots : 0;
    kind.slots += endpoint.counted_slots;

    endpoint.counted = counted;
    endpoint.counted_ejected = ejected;
    endpoint.counted_concurrency = concurrency;
}

void residency::reindex(endpoint_state& endpoint, time_point now)
{
    auto& kind = *endpoint.kind;
    count(endpoint);

    // Index by utilisation
    auto const key = endpoint.has_capacity(now) ? endpoint.utilisation() : -1.0;
    if (key != endpoint.utilisation_key)
    {
        if (endpoint.utilisation_key >= 0)
            kind.by_utilisation.erase({endpoint.utilisation_key, &endpoint});
        if (key >= 0)
            kind.by_utilisation.insert({key, &endpoint});
        endpoint.utilisation_key = key;
    }

    // Index by free adapter slots
    auto const taken = endpoint.copies.size();
    auto const has_slot = endpoint.accepts_requests() && endpoint.breaker.allows(now) &&
                          taken < endpoint.slots;
    auto const slots_key = has_slot ? static_cast<double>(taken) / endpoint.slots : -1.0;
    if (slots_key != endpoint.slots_key)
    {
        if (endpoint.slots_key >= 0)
            kind.free_slots.erase({endpoint.slots_key, &endpoint});
        if (slots_key >= 0)
            kind.free_slots.insert({slots_key, &endpoint});
        endpoint.slots_key = slots_key;
    }
}

void residency::reindex(adapter_state& adapter)
{
    for (auto* const endpoint : adapter.endpoints)
        if (auto* const copy = endpoint->find(&adapter))
            reindex(*endpoint, *copy);
}

void residency::reindex(endpoint_state& endpoint, adapter_copy& copy)
{
    auto const evictable = is_evictable(endpoint, copy);
    auto const score = evictable ? eviction_score(copy) : 0.0;
    if (evictable == copy.indexed && score == copy.score)
        return;
    if (copy.indexed)
        endpoint.kind->evictable.erase({copy.score, &endpoint, copy.adapter});
    copy.indexed = evictable;
    copy.score = score;
    if (evictable)
        endpoint.kind->evictable.insert({score, &endpoint, copy.adapter});
}

bool residency::is_evictable(endpoint_state const& endpoint, adapter_copy const& copy)
{
    if (copy.running > 0 || !endpoint.accepts_requests() || endpoint.grants_suspended)
        return false;
    if (copy.missing || copy.adapter->isolated_count > 0)
        return false;

    // The last copy is kept while requests for its adapter are queued
    auto const& adapter = *copy.adapter;
    if (copy.state == copy_state::draining)
        return !adapter.has_queued_requests() || adapter.resident > 0;
    return copy.state == copy_state::resident &&
           (!adapter.has_queued_requests() || adapter.resident > 1);
}

double residency::eviction_score(adapter_copy const& copy)
{
    // Draining copies get no requests and are evicted before all copies with recorded
    // demand; copies of adapters whose demand was cleared score lower still
    constexpr double lowest = -1e300;
    if (copy.state == copy_state::draining)
        return lowest;
    return copy.adapter->demand.level() - std::log2(std::max(1U, copy.adapter->resident));
}

void residency::erase_idle_adapters()
{
    // Half-lives after which a single request is negligible
    constexpr double negligible = 10;
    std::erase_if(adapters_,
                  [&](auto const& entry)
                  {
                      auto const& adapter = entry.second;
                      return adapter.needs_load() && adapter.endpoints.empty() &&
                             adapter.queue.empty() && adapter.loading == 0 &&
                             !adapter.awaiting_load && adapter.references == 0 &&
                             adapter.kind->clock.half_lives() - adapter.demand.level() >
                                 negligible;
                  });
}

} // namespace marjorampath
