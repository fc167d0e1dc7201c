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

// Queueing time at the engines that hold an adapter, above which another copy pays
constexpr double copy_wait_seconds = 1.0;

// Number of evictable copies that are compared
constexpr std::size_t compared_victims = 8;

// Number of engines with free slots that are compared
constexpr std::size_t compared_slots = 4;

// Worth of an engine without room, in levels of demand
constexpr double full_penalty = 3.0;

// Time between two copies that are drained
constexpr duration drain_interval = std::chrono::seconds(1);

} // namespace

void cell_state::update_awaiting_load(adapter_state& adapter)
{
    auto wants = adapter.needs_load() && !adapter.queue.empty() && adapter.loading == 0;
    if (wants && adapter.resident > 0)
    {
        double room = 0;
        for (auto const* const endpoint : adapter.places)
            room += endpoint->concurrency;
        wants = adapter.queue.seconds() > copy_wait_seconds * room &&
                adapter.places.size() < adapter.kind->usable;
    }
    if (wants == adapter.wanted)
        return;
    adapter.wanted = wants;
    if (wants)
        wanted.push_back(&adapter);
    else
        std::erase(wanted, &adapter);
}

double cell_state::wait_cost(adapter_state const& adapter, time_point now) const
{
    auto const waiting = static_cast<double>(adapter.queue.size());
    auto const& oldest = *adapter.queue.oldest();
    auto const age = seconds_double(now - oldest.arrived).count();

    constexpr double first_second = 0.2;

    // Another copy saves less than the first one
    auto const gain = adapter.resident > 0 ? 0.5 : 1.0;
    return gain * waiting * (first_second + age);
}

void cell_state::plan_loads(time_point now, cell_actions& out)
{
    auto const round = ++planning_round;
    while (orders_allowed && permits.available(now) && !wanted.empty())
    {
        adapter_state* best = nullptr;
        double best_cost = 0;
        for (auto* const adapter : wanted)
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

        // One that fits nowhere must not hold the others up
        if (!start_load(*best, now, out))
            best->skipped_in_round = round;
    }
}

void cell_state::drain_for_eviction(kind_state& kind, time_point now)
{
    if (!eviction_allowed || now < kind.next_drain)
        return;
    kind.next_drain = now + drain_interval;

    // The copy that is asked for least
    endpoint_state* place = nullptr;
    adapter_copy* least = nullptr;
    double least_level = 0;
    for (auto& [id, endpoint] : placement.endpoints())
    {
        if (endpoint.kind != &kind || !endpoint.usable() || endpoint.grants_suspended)
            continue;
        for (auto& copy : endpoint.copies)
        {
            if (copy.state != copy_state::resident || copy.drain_queue_first)
                continue;
            auto const level =
                copy.adapter->demand.level() - std::log2(copy.adapter->resident);
            auto const ties = least != nullptr && level == least_level;
            if (least != nullptr && (level > least_level || (ties && id > place->id)))
                continue;
            place = &endpoint;
            least = &copy;
            least_level = level;
        }
    }
    if (least == nullptr)
        return;

    // The last copy serves all that wait for it first
    if (least->adapter->resident > 1)
        placement.set_state(*place, *least, copy_state::draining, now);
    else
        least->drain_queue_first = true;
}

bool cell_state::revive(adapter_state& adapter, time_point now, cell_actions& out)
{
    for (auto* const endpoint : adapter.places)
    {
        auto* const copy = endpoint->find(&adapter);
        if (copy->state != copy_state::draining || copy->missing || !endpoint->usable() ||
            endpoint->grants_suspended)
            continue;
        placement.set_state(*endpoint, *copy, copy_state::resident, now);
        update_awaiting_load(adapter);
        fill(*endpoint, now, out);
        return true;
    }
    return false;
}

bool cell_state::start_load(adapter_state& adapter, time_point now, cell_actions& out)
{
    // A copy that was to be evicted is there already
    if (adapter.resident == 0 && revive(adapter, now, out))
        return true;
    auto& kind = *adapter.kind;
    endpoint_state* best = nullptr;
    adapter_state* victim = nullptr;
    double best_score = 0;

    std::size_t compared = 0;

    // An empty slot costs nothing but for the load of its engine
    auto const direction = 1.0 - 2.0 * options.stall_weight;
    auto const consider =
        [&](endpoint_state* endpoint, adapter_state* evicted, double score)
    {
        if (endpoint->find(&adapter) != nullptr)
            return;
        ++compared;
        score += direction * endpoint->fill();
        if (!endpoint->has_capacity(now))
            score -= full_penalty;
        if (best != nullptr && score <= best_score)
            return;
        best = endpoint;
        victim = evicted;
        best_score = score;
    };
    for (auto const& [taken, endpoint] : kind.free_slots)
    {
        consider(endpoint, nullptr, -taken);
        if (compared == compared_slots)
            break;
    }
    if (best == nullptr && eviction_allowed)
    {
        compared = 0;
        for (auto const& copy : kind.evictable)
        {
            consider(copy.endpoint, copy.adapter,
                     std::max(-1e9, kind.evictable.begin()->score - copy.score));
            if (compared == compared_victims)
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

    // The load follows once the slot is free
    auto* const evicted = endpoint.find(victim);
    assert(evicted != nullptr && evicted->running == 0);
    assert(!victim->awaited() || victim->resident > 1 ||
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
        // The engine still has it, or its next report says otherwise
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
    fill(endpoint, now, out);
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
    auto const serves = endpoint.usable() || endpoint.alone != nullptr;
    placement.set_state(endpoint, *copy,
                        serves && !endpoint.grants_suspended ? copy_state::resident
                                                             : copy_state::draining,
                        now);
    update_awaiting_load(adapter);
    start_isolated(endpoint, now, out);
    fill(endpoint, now, out);
}

void cell_state::load_failed(adapter_state& adapter, time_point now, cell_actions& out)
{
    backoff_limits const limits{options.load_backoff, options.load_backoff_limit};
    adapter.backoff.fail(limits, now, random);
    pauses.insert(adapter.backoff.not_before());
    if (adapter.resident > 0 || adapter.loading > 0)
        return;

    // A bad version fails at once; otherwise only what cannot wait does
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
