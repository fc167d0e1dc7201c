#include <marjorampath/cell/cell_state.hpp>

#include <cassert>

namespace marjorampath
{

void cell_state::schedule_isolated(kind_state& kind, time_point now, cell_actions& out)
{
    // One reservation per kind, so that suspects never occupy many endpoints
    for (auto const* const waiting : kind.isolated_queue)
        if (waiting->endpoint != nullptr)
            return start_isolated(*waiting->endpoint, now, out);
    auto& request = *kind.isolated_queue.front();

    // Chooses the endpoint with the least utilisation, preferring one that holds the
    // adapter
    endpoint_state* best = nullptr;
    double best_score = 0;
    for (auto const& [utilisation, endpoint] : kind.by_utilisation)
    {
        auto const* const copy = endpoint->find(request.adapter);
        auto const has = copy != nullptr && copy->state == copy_state::resident;
        auto const score = (has ? 1.0 : 0.0) - utilisation;
        if (best == nullptr || score > best_score)
        {
            best = endpoint;
            best_score = score;
        }
    }
    if (best == nullptr)
        return;
    best->isolated_request = &request;
    request.endpoint = best;
    placement.reindex(*best, now);
    for (auto& copy : best->copies)
        placement.reindex(*best, copy);
    start_isolated(*best, now, out);
}

void cell_state::start_isolated(endpoint_state& endpoint, time_point now,
                                cell_actions& out)
{
    auto* const request = endpoint.isolated_request;
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

    // Loads the adapter into a free adapter slot or that of an idle adapter
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
            (!victim.adapter->has_queued_requests() || victim.adapter->resident > 1))
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
    endpoint->isolated_request = nullptr;
    placement.reindex(*endpoint, now);
    for (auto& copy : endpoint->copies)
        placement.reindex(*endpoint, copy);
    grant_queued(*endpoint, now, out);
}

} // namespace marjorampath
