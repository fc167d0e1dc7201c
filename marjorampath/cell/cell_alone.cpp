#include <marjorampath/cell/cell_state.hpp>

#include <cassert>

namespace marjorampath
{

void cell_state::schedule_isolated(kind_state& kind, time_point now, cell_actions& out)
{
    // One reservation a kind, so that suspects never take many endpoints
    for (auto const* const waiting : kind.isolated_queue)
        if (waiting->endpoint != nullptr)
            return start_isolated(*waiting->endpoint, now, out);
    auto& request = *kind.isolated_queue.front();

    // The endpoint that is free soonest; one that has the adapter is preferred
    endpoint_state* best = nullptr;
    double best_score = 0;
    for (auto const& [fill, endpoint] : kind.by_utilisation)
    {
        auto const* const copy = endpoint->find(request.adapter);
        auto const has = copy != nullptr && copy->state == copy_state::resident;
        auto const score = (has ? 1.0 : 0.0) - fill;
        if (best == nullptr || score > best_score)
        {
            best = endpoint;
            best_score = score;
        }
    }
    if (best == nullptr)
        return;
    best->alone = &request;
    request.endpoint = best;
    placement.reindex(*best, now);
    for (auto& copy : best->copies)
        placement.reindex(*best, copy);
    start_isolated(*best, now, out);
}

void cell_state::start_isolated(endpoint_state& endpoint, time_point now,
                                cell_actions& out)
{
    auto* const request = endpoint.alone;
    if (request == nullptr || request->granted || endpoint.running > 0)
        return;
    auto& adapter = *request->adapter;
    auto const* const copy = endpoint.find(&adapter);
    if (!adapter.needs_load() || (copy != nullptr && copy->state == copy_state::resident))
    {
        dequeue(*request);
        grant(*request, endpoint, now, out);
        return;
    }

    // Load the adapter into a free slot or that of any idle adapter
    if (copy != nullptr || !orders_allowed || !permits.available(now) ||
        adapter.backoff.not_before() > now)
        return;
    if (endpoint.copies.size() < endpoint.slots)
        return order_load(adapter, endpoint, nullptr, now, out);
    if (!eviction_allowed)
        return;
    for (auto& victim : endpoint.copies)
    {
        if (victim.state == copy_state::resident && victim.running == 0 &&
            victim.adapter->isolated_count == 0 &&
            (!victim.adapter->awaited() || victim.adapter->resident > 1))
            return order_load(adapter, endpoint, victim.adapter, now, out);
    }
}

void cell_state::cancel_reservation(pending_request& request, time_point now,
                                    cell_actions& out)
{
    auto* const endpoint = request.endpoint;
    if (endpoint == nullptr || request.granted)
        return;
    request.endpoint = nullptr;
    endpoint->alone = nullptr;
    placement.reindex(*endpoint, now);
    for (auto& copy : endpoint->copies)
        placement.reindex(*endpoint, copy);
    fill(*endpoint, now, out);
}

} // namespace marjorampath
