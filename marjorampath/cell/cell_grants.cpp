#include <marjorampath/cell/cell_state.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace marjorampath
{

namespace
{

// Worth of a prefix that is probably in an engine's cache, in parts of its concurrency
constexpr double prefix_worth = 0.25;

// Share of the endpoints of a kind that may be ejected at once
constexpr double ejectable_share = 0.5;

// Whether one waiting request goes before another, of any teams
bool goes_before(pending_request const& left, pending_request const& right)
{
    if (left.team != right.team && left.team->virtual_time != right.team->virtual_time)
        return left.team->virtual_time < right.team->virtual_time;
    return request_order()(&left, &right);
}

} // namespace

endpoint_state* cell_state::choose_endpoint(pending_request const& request,
                                            time_point now) const
{
    auto const& adapter = *request.adapter;
    if (!adapter.needs_load())
    {
        auto const& by_utilisation = adapter.kind->by_utilisation;
        return by_utilisation.empty() ? nullptr : by_utilisation.begin()->second;
    }
    endpoint_state* best = nullptr;
    double best_score = 0;
    for (auto* const endpoint : adapter.places)
    {
        auto const* const copy = endpoint->find(&adapter);
        if (copy->state != copy_state::resident || !endpoint->has_capacity(now))
            continue;
        auto const score = endpoint_score(*endpoint, request);
        if (best == nullptr || score > best_score)
        {
            best = endpoint;
            best_score = score;
        }
    }
    return best;
}

double cell_state::endpoint_score(endpoint_state const& endpoint,
                                  pending_request const& request) const
{
    // Full batches attract or repel, by the profile
    auto const direction = 1.0 - 2.0 * options.stall_weight;
    auto const hit = endpoint.prefixes.has(request.request.prefix);
    return direction * endpoint.fill() + (hit ? prefix_worth : 0.0);
}

void cell_state::grant(pending_request& request, endpoint_state& endpoint, time_point now,
                       cell_actions& out)
{
    assert(endpoint.listed && endpoint.reachable && !endpoint.leaving);
    assert(endpoint.running < endpoint.concurrency);
    assert(!request.granted);
    request.granted = true;
    request.granted_at = now;
    request.endpoint = &endpoint;
    request.epoch = endpoint.epoch;
    ++endpoint.running;
    ++endpoint.grants;
    ++counts.granted;
    endpoint.breaker.granted();
    endpoint.prefixes.add(request.request.prefix);
    if (request.adapter->needs_load())
    {
        auto* const copy = endpoint.find(request.adapter);
        assert(copy != nullptr && copy->state == copy_state::resident);
        ++copy->running;
        placement.reindex(endpoint, *copy);
    }
    placement.reindex(endpoint, now);

    // The team pays for the expected service now, and for the rest when it is known
    auto& team = *request.team;
    auto& kind = *endpoint.kind;
    team.virtual_time = std::max(team.virtual_time, kind.virtual_time);
    kind.virtual_time = team.virtual_time;
    team.virtual_time += request.seconds / team.weight;
    out.push_back(grant_action{.request = request.request.request,
                               .entry = request.request.entry,
                               .endpoint = endpoint.id});
}

pending_request* cell_state::next_queued(endpoint_state& endpoint) const
{
    auto* best = endpoint.kind->plain->queue.first();
    for (auto const& copy : endpoint.copies)
    {
        if (copy.state != copy_state::resident || copy.adapter->queue.empty())
            continue;
        auto* const candidate = copy.adapter->queue.first();
        if (copy.drain_queue_first)
            return candidate;
        if (best == nullptr || goes_before(*candidate, *best))
            best = candidate;
    }
    return best;
}

void cell_state::fill(endpoint_state& endpoint, time_point now, cell_actions& out)
{
    while (endpoint.has_capacity(now))
    {
        auto* const request = next_queued(endpoint);
        if (request == nullptr)
            return;
        dequeue(*request);
        grant(*request, endpoint, now, out);
    }
}

void cell_state::release(release_report const& report, time_point now, cell_actions& out)
{
    auto const found = requests.find(report.request);
    if (found == requests.end() || !found->second.granted)
        return;
    auto& request = found->second;
    auto& endpoint = *request.endpoint;
    auto& adapter = *request.adapter;
    if (report.endpoint != endpoint.id)
        return;
    auto const same_epoch = request.epoch == endpoint.epoch;
    account(request, report, now);
    remove_grant(request, now);
    if (same_epoch)
        rate(endpoint, report.reason, now);

    // The engine knows better what it holds
    auto* const copy = endpoint.find(&adapter);
    if (report.reason == release_reason::adapter_missing && same_epoch &&
        copy != nullptr && copy->state == copy_state::resident)
    {
        if (copy->running == 0)
            drop_copy(endpoint, adapter, now);
        else
        {
            copy->missing = true;
            placement.set_state(endpoint, *copy, copy_state::draining, now);
        }
        update_awaiting_load(adapter);
    }
    else if (copy != nullptr && copy->missing && copy->running == 0)
    {
        drop_copy(endpoint, adapter, now);
    }
    start_isolated(endpoint, now, out);
    fill(endpoint, now, out);
    sweep(endpoint);
}

void cell_state::account(pending_request& request, release_report const& report,
                         time_point now)
{
    auto const took = now - request.granted_at;
    auto const seconds = std::chrono::duration<double>(took).count();
    auto& team = *request.team;
    team.virtual_time += (seconds - request.seconds) / team.weight;
    if (report.reason == release_reason::finished)
        request.adapter->kind->service.finished(took, report.tokens,
                                                request.request.max_tokens);
}

void cell_state::remove_grant(pending_request& request, time_point now)
{
    auto& endpoint = *request.endpoint;
    --endpoint.grants;
    --counts.granted;
    auto const alone = endpoint.alone == &request;
    if (alone)
        endpoint.alone = nullptr;
    if (request.epoch == endpoint.epoch)
    {
        assert(endpoint.running > 0);
        --endpoint.running;
        auto* const copy = endpoint.find(request.adapter);
        if (copy != nullptr && copy->running > 0)
        {
            --copy->running;
            placement.reindex(endpoint, *copy);
        }
    }
    placement.reindex(endpoint, now);
    if (alone)
        for (auto& copy : endpoint.copies)
            placement.reindex(endpoint, copy);
    forget(request);
}

void cell_state::rate(endpoint_state& endpoint, release_reason reason, time_point now)
{
    switch (reason)
    {
    case release_reason::finished:
        endpoint.breaker.succeed();
        set_suspended(endpoint, false, now);
        break;
    case release_reason::refused:
    case release_reason::endpoint_lost:
    {
        // Many endpoints that fail together are not made fewer
        auto const& kind = *endpoint.kind;
        auto const limit = static_cast<double>(kind.usable) * ejectable_share;
        if (!endpoint.breaker.open() && static_cast<double>(kind.ejected) + 1 > limit)
            break;
        backoff_limits const limits{options.ejection_time, options.ejection_limit};
        if (endpoint.breaker.fail(options.ejection_failures, limits, now, random))
        {
            pauses.insert(endpoint.breaker.not_before());
            set_suspended(endpoint, true, now);
        }
        break;
    }
    case release_reason::cancelled:
    case release_reason::adapter_missing:
        endpoint.breaker.inconclusive();
        break;
    }
    placement.reindex(endpoint, now);
}

void cell_state::set_suspended(endpoint_state& endpoint, bool grants_suspended,
                               time_point now)
{
    if (endpoint.grants_suspended == grants_suspended)
        return;
    endpoint.grants_suspended = grants_suspended;
    auto const from = grants_suspended ? copy_state::resident : copy_state::draining;
    auto const to = grants_suspended ? copy_state::draining : copy_state::resident;
    for (auto& copy : endpoint.copies)
    {
        if (copy.state != from || copy.missing)
            continue;
        placement.set_state(endpoint, copy, to, now);
        update_awaiting_load(*copy.adapter);
    }
}

void cell_state::resume_ejected(time_point now, cell_actions& out)
{
    std::vector<endpoint_state*> resumed;
    for (auto& [id, endpoint] : placement.endpoints())
        if (endpoint.breaker.open() && endpoint.breaker.allows(now) && endpoint.usable())
            resumed.push_back(&endpoint);

    // The order of a hash table must not decide
    std::sort(resumed.begin(), resumed.end(),
              [](auto const* left, auto const* right) { return left->id < right->id; });
    for (auto* const endpoint : resumed)
    {
        set_suspended(*endpoint, false, now);
        placement.reindex(*endpoint, now);
        fill(*endpoint, now, out);
    }
}

} // namespace marjorampath
