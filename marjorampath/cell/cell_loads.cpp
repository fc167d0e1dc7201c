#include <marjorampath/cell/cell_state.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace marjorampath
{

namespace
{

using seconds_double = std::chrono::duration<double>;

// Expected queueing time at the endpoints of an adapter above which it gets another copy
constexpr double extra_copy_wait_seconds = 1.0;

// Number of evictable copies to compare as victims of one load
constexpr std::size_t max_compared_victims = 8;

// Number of engines with free adapter slots to compare for one load
constexpr std::size_t max_compared_slots = 4;

// Score penalty of an engine without capacity, in units of `demand_estimate::level`
constexpr double no_capacity_penalty = 3.0;

// Shortest time between two decisions to drain a copy of the same kind for eviction
constexpr duration drain_interval = std::chrono::seconds(1);

} // namespace

void cell_state::update_awaiting_load(adapter_state& adapter)
{
    auto awaits = adapter.needs_load() && !adapter.queue.empty() && adapter.loading == 0;
    if (awaits && adapter.resident > 0)
    {
        double concurrency = 0;
        for (auto const* const endpoint : adapter.endpoints)
            concurrency += endpoint->concurrency;
        awaits =
            adapter.queue.service_seconds() > extra_copy_wait_seconds * concurrency &&
            adapter.endpoints.size() < adapter.kind->usable;
    }
    if (awaits == adapter.awaiting_load)
        return;
    adapter.awaiting_load = awaits;
    if (awaits)
        awaiting_load.push_back(&adapter);
    else
        std::erase(awaiting_load, &adapter);
}

double cell_state::wait_cost(adapter_state const& adapter, time_point now) const
{
    auto const waiting = static_cast<double>(adapter.queue.size());
    auto const& oldest = *adapter.queue.oldest();
    auto const age = seconds_double(now - oldest.arrived).count();

    // Added to the age, so that requests that have just arrived count too
    constexpr double base_age_seconds = 0.2;

    // A further copy gains less than the first
    auto const gain = adapter.resident > 0 ? 0.5 : 1.0;
    return gain * waiting * (base_age_seconds + age);
}

void cell_state::plan_loads(time_point now, cell_actions& out)
{
    auto const round = ++planning_round;
    while (orders_allowed && permits.available(now) && !awaiting_load.empty())
    {
        adapter_state* best = nullptr;
        double best_cost = 0;
        for (auto* const adapter : awaiting_load)
        {
            if (adapter->backoff.not_before() > now || adapter->skipped_in_round == round)
                continue;
            auto const& kind = *adapter->kind;
            if (kind.free_slots.empty() && (kind.evictable.empty() || !eviction_allowed))
            {
                drain_for_eviction(*adapter->kind, now);
                continue;
            }
            auto const cost = wait_cost(*adapter, now);
            if (best == nullptr || cost > best_cost)
            {
                best = adapter;
                best_cost = cost;
            }
        }
        if (best == nullptr)
            return;

        // An adapter without a suitable engine must not block the others
        if (!start_load(*best, now, out))
            best->skipped_in_round = round;
    }
}

void cell_state::drain_for_eviction(kind_state& kind, time_point now)
{
    if (!eviction_allowed || now < kind.next_drain)
        return;
    kind.next_drain = now + drain_interval;

    // Finds the copy with the least demand
    endpoint_state* chosen = nullptr;
    adapter_copy* chosen_copy = nullptr;
    double lowest_level = 0;
    for (auto& [id, endpoint] : placement.endpoints())
    {
        if (endpoint.kind != &kind || !endpoint.accepts_requests() ||
            endpoint.grants_suspended)
            continue;
        for (auto& copy : endpoint.copies)
        {
            if (copy.state != copy_state::resident || copy.drain_queue_first)
                continue;
            auto const level =
                copy.adapter->demand.level() - std::log2(copy.adapter->resident);
            auto const ties = chosen_copy != nullptr && level == lowest_level;
            if (chosen_copy != nullptr &&
                (level > lowest_level || (ties && id > chosen->id)))
                continue;
            chosen = &endpoint;
            chosen_copy = &copy;
            lowest_level = level;
        }
    }
    if (chosen_copy == nullptr)
        return;

    // The last copy first serves all requests queued for its adapter
    if (chosen_copy->adapter->resident > 1)
        placement.set_state(*chosen, *chosen_copy, copy_state::draining, now);
    else
        chosen_copy->drain_queue_first = true;
}

bool cell_state::reuse_draining_copy(adapter_state& adapter, time_point now,
                                     cell_actions& out)
{
    for (auto* const endpoint : adapter.endpoints)
    {
        auto* const copy = endpoint->find(&adapter);
        if (copy->state != copy_state::draining || copy->missing ||
            !endpoint->accepts_requests() || endpoint->grants_suspended)
            continue;
        placement.set_state(*endpoint, *copy, copy_state::resident, now);
        update_awaiting_load(adapter);
        grant_queued(*endpoint, now, out);
        return true;
    }
    return false;
}

bool cell_state::start_load(adapter_state& adapter, time_point now, cell_actions& out)
{
    // A draining copy needs no load
    if (adapter.resident == 0 && reuse_draining_copy(adapter, now, out))
        return true;
    auto& kind = *adapter.kind;
    endpoint_state* best = nullptr;
    adapter_state* victim = nullptr;
    double best_score = 0;

    std::size_t compared = 0;

    // Candidates are scored by the free slots or the victim's demand, and by utilisation
    auto const direction = 1.0 - 2.0 * options.stall_weight;
    auto const consider =
        [&](endpoint_state* endpoint, adapter_state* evicted, double score)
    {
        if (endpoint->find(&adapter) != nullptr)
            return;
        ++compared;
        score += direction * endpoint->utilisation();
        if (!endpoint->has_capacity(now))
            score -= no_capacity_penalty;
        if (best != nullptr && score <= best_score)
            return;
        best = endpoint;
        victim = evicted;
        best_score = score;
    };
    for (auto const& [taken, endpoint] : kind.free_slots)
    {
        consider(endpoint, nullptr, -taken);
        if (compared == max_compared_slots)
            break;
    }
    if (best == nullptr && eviction_allowed)
    {
        compared = 0;
        for (auto const& copy : kind.evictable)
        {
            // Bounded, since the score without recorded demand is near the lowest double
            consider(copy.endpoint, copy.adapter,
                     std::max(-1e9, kind.evictable.begin()->score - copy.score));
            if (compared == max_compared_victims)
                break;
        }
    }
    if (best == nullptr)
        return false;
    order_load(adapter, *best, victim, now, out);
    return true;
}

void cell_state::order_load(adapter_state& adapter, endpoint_state& endpoint,
                            adapter_state* victim, time_point now, cell_actions& out)
{
    permits.take(now);
    ++counts.loads;
    if (victim == nullptr)
    {
        placement.add_copy(endpoint, adapter, copy_state::loading, now);
        out.push_back(load_action{.endpoint = endpoint.id, .adapter = adapter.id});
        update_awaiting_load(adapter);
        return;
    }

    // Unloads the victim; `unload_finished` then orders the load
    auto* const evicted = endpoint.find(victim);
    assert(evicted != nullptr && evicted->running == 0);
    assert(!victim->has_queued_requests() || victim->resident > 1 ||
           (evicted->state == copy_state::draining && victim->resident > 0));
    assert(eviction_allowed);
    evicted->successor = &adapter;
    ++adapter.loading;
    ++counts.unloads;
    placement.set_state(endpoint, *evicted, copy_state::unloading, now);
    out.push_back(unload_action{.endpoint = endpoint.id, .adapter = victim->id});
    update_awaiting_load(adapter);
}

void cell_state::unload_finished(endpoint_state& endpoint, adapter_state& adapter,
                                 error_kind error, time_point now, cell_actions& out)
{
    auto const* const copy = endpoint.find(&adapter);
    if (copy == nullptr || copy->state != copy_state::unloading)
        return;
    auto* const successor = copy->successor;
    if (error == error_kind::none)
    {
        drop_copy(endpoint, adapter, now);
        endpoint.unloads.push_back({adapter.id, now});
    }
    else
    {
        // Assumes that the engine still holds the adapter; if not, the engine's next
        // report corrects the copy's state
        auto* const kept = endpoint.find(&adapter);
        kept->successor = nullptr;
        placement.set_state(
            endpoint, *kept,
            endpoint.grants_suspended ? copy_state::draining : copy_state::resident, now);
    }
    if (successor != nullptr)
    {
        --successor->loading;
        auto const possible = error == error_kind::none && orders_allowed &&
                              !endpoint.leaving && endpoint.listed &&
                              endpoint.find(successor) == nullptr;
        if (possible)
        {
            placement.add_copy(endpoint, *successor, copy_state::loading, now);
            out.push_back(load_action{.endpoint = endpoint.id, .adapter = successor->id});
        }
        else
        {
            permits.finish();
        }
        update_awaiting_load(*successor);
    }
    update_awaiting_load(adapter);
    grant_queued(endpoint, now, out);
}

void cell_state::load_finished(endpoint_state& endpoint, adapter_state& adapter,
                               error_kind error, time_point now, cell_actions& out)
{
    auto* const copy = endpoint.find(&adapter);
    if (copy == nullptr || copy->state != copy_state::loading)
        return;
    permits.finish();
    if (error != error_kind::none)
    {
        drop_copy(endpoint, adapter, now);
        load_failed(adapter, now, out);
        return;
    }
    adapter.backoff.succeed();
    auto const serves =
        endpoint.accepts_requests() || endpoint.isolated_request != nullptr;
    placement.set_state(endpoint, *copy,
                        serves && !endpoint.grants_suspended ? copy_state::resident
                                                             : copy_state::draining,
                        now);
    update_awaiting_load(adapter);
    start_isolated(endpoint, now, out);
    grant_queued(endpoint, now, out);
}

void cell_state::load_failed(adapter_state& adapter, time_point now, cell_actions& out)
{
    backoff_limits const limits{options.load_backoff, options.load_backoff_limit};
    adapter.backoff.fail(limits, now, random);
    backoff_ends.insert(adapter.backoff.not_before());
    if (adapter.resident > 0 || adapter.loading > 0)
        return;

    // Refuses all requests for a bad version, otherwise those at the head of the queue up
    // to the first that can wait; later ones expire by `latest_start`
    refusal const why{error_kind::load_failed, adapter.backoff.not_before() - now};
    if (adapter.backoff.failures() >= options.bad_version_failures)
        return refuse_queue(adapter, why, out);
    while (auto* const request = adapter.queue.first())
    {
        if (request->latest_start >= adapter.backoff.not_before())
            break;
        dequeue(*request);
        refuse(*request, why, out);
    }
}

} // namespace marjorampath
