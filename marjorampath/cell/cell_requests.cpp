#include <marjorampath/cell/cell_state.hpp>
#include <marjorampath/core/hash.hpp>
#include <marjorampath/limits/jitter.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace marjorampath
{

namespace
{

using seconds_double = std::chrono::duration<double>;

// Shortest time after which callers are told to come back
constexpr duration shortest_retry = std::chrono::milliseconds(250);

// Time after which a caller may find an endpoint that is missing now
constexpr duration endpoint_retry = std::chrono::seconds(1);

// Requests between two looks for adapters to forget
constexpr std::uint64_t adapter_sweep = 4'096;

// Part of the time left that a request may be expected to wait. The rest covers errors
// of the estimates, so that what is admitted finishes in time.
constexpr double admissible_wait = 0.7;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(seconds_double(seconds));
}

} // namespace

cell_state::cell_state(cell_options const& chosen)
    : options(chosen), placement(chosen.token_time),
      permits(chosen.loads_per_second, chosen.load_burst, chosen.loads_in_transit),
      random(chosen.seed)
{
}

team_share& cell_state::team(kind_state const& kind, team_id id)
{
    auto const [found, added] =
        teams.try_emplace(hash_combine(kind.id.number(), id.number()));
    if (added)
    {
        found->second.id = id;
        found->second.kind = &kind;
        found->second.retries = token_bucket(0, options.retry_burst);
    }
    return found->second;
}

void cell_state::request(grant_request const& asked, time_point now, cell_actions& out)
{
    auto const [found, added] = requests.try_emplace(asked.request);
    if (!added)
        return;
    if (next_sequence % adapter_sweep == 0 &&
        placement.adapter_count() > options.adapter_bound)
        placement.erase_idle_adapters();
    auto& kind = placement.kind(asked.endpoints);
    auto& request = found->second;
    request.request = asked;
    request.sequence = next_sequence++;
    request.arrived = now;
    request.team = &team(kind, asked.team);
    request.adapter = &placement.adapter(kind, asked.adapter);
    ++request.adapter->references;
    if (request.team->queued == 0)
        request.team->weight = std::max(1U, asked.team_weight);
    auto const service = kind.service.expect(asked.max_tokens);
    request.latest_start = asked.deadline - service;
    request.seconds = seconds_double(service).count();

    // Demand counts also where the request is refused
    kind.clock.tick(request.adapter->needs_load() && request.adapter->resident == 0,
                    options.demand_half_life * static_cast<double>(kind.slots));
    request.adapter->demand.add(kind.clock.age());
    placement.reindex(*request.adapter);

    // A team may repeat only a part of what it asks
    if (asked.attempt == 0)
        request.team->retries.add(options.retry_ratio);
    else if (!request.team->retries.available(now))
        return refuse(request, {error_kind::queue_full, endpoint_retry}, out);
    else
        request.team->retries.take(now);

    // Room at an endpoint that has the adapter is used at once
    if (!asked.isolated && now <= request.latest_start)
        if (auto* const endpoint = choose_endpoint(request, now))
            return grant(request, *endpoint, now, out);
    if (auto const why = judge(request, now))
        return refuse(request, *why, out);
    if (counts.queued >= options.queue_bound &&
        !shed_longest_queue(kind, *request.team, out))
        return refuse(request, {error_kind::queue_full, endpoint_retry}, out);
    enqueue(request);
}

std::optional<refusal> cell_state::judge(pending_request const& request,
                                         time_point now) const
{
    auto const& adapter = *request.adapter;
    if (adapter.kind->usable == 0)
        return refusal{error_kind::no_endpoint, endpoint_retry};
    auto const missing = adapter.needs_load() && adapter.resident == 0;
    if (missing && adapter.loading == 0)
    {
        if (!orders_allowed)
            return refusal{error_kind::no_endpoint, endpoint_retry};

        // A bad version fails at once until it is probed again
        auto const pause = adapter.backoff.not_before() - now;
        auto const bad = adapter.backoff.failures() >= options.bad_version_failures;
        if (pause > duration(0) &&
            (bad || adapter.backoff.not_before() > request.latest_start))
            return refusal{error_kind::load_failed, std::max(pause, shortest_retry)};
    }

    // What cannot finish in time is told so at once
    auto const slack = request.latest_start - now;
    auto const wait = std::max(load_wait(request, now), capacity_wait(request));
    auto const admissible = to_duration(seconds_double(slack).count() * admissible_wait);
    if (slack < duration(0) || wait > admissible)
        return refusal{error_kind::deadline_unreachable,
                       std::max(wait - admissible, shortest_retry)};
    return std::nullopt;
}

duration cell_state::load_wait(pending_request const& request, time_point now) const
{
    auto const& adapter = *request.adapter;
    if (!adapter.needs_load() || adapter.resident > 0)
        return duration(0);
    if (adapter.loading > 0 || options.loads_per_second <= 0)
        return options.load_time;

    // All adapters that want a load go first
    auto const ahead = static_cast<double>(wanted.size()) / options.loads_per_second;
    auto const permit = permits.next(now) - now;
    return permit + to_duration(ahead) + options.load_time;
}

duration cell_state::capacity_wait(pending_request const& request) const
{
    auto const& adapter = *request.adapter;
    auto const& kind = *adapter.kind;
    auto const& team = *request.team;
    if (kind.concurrency == 0)
        return endpoint_retry;

    // The team's queue, served at the team's part of the capacity
    auto const others = kind.backlogged_weight - (team.queued > 0 ? team.weight : 0);
    auto const share = team.weight / (team.weight + std::max(0.0, others));
    auto const capacity = static_cast<double>(kind.concurrency) * share;
    auto wait = team.seconds_ahead(request.request.priority) / capacity;

    // The adapter's queue, served where the adapter is
    if (adapter.needs_load() && adapter.resident > 0)
    {
        double room = 0;
        for (auto const* const endpoint : adapter.places)
            room += endpoint->concurrency;
        wait = std::max(wait, adapter.queue.seconds() / room);
    }
    return to_duration(wait);
}

void cell_state::enqueue(pending_request& request)
{
    auto& adapter = *request.adapter;
    auto& team = *request.team;
    auto& kind = *adapter.kind;
    if (team.queued == 0)
    {
        // A team that was idle has saved nothing up
        team.virtual_time = std::max(team.virtual_time, kind.virtual_time);
        kind.backlogged_weight += team.weight;
    }
    ++team.queued;
    team.queued_seconds[request.request.priority] += request.seconds;
    ++counts.queued;
    expiries.insert(&request);
    team.waiting.insert(&request);
    if (request.request.isolated)
    {
        if (kind.isolated_queue.empty())
            kinds_with_isolated.push_back(&kind);
        kind.isolated_queue.push_back(&request);
        ++adapter.isolated_count;
        placement.reindex(adapter);
        return;
    }
    adapter.queue.add(&request);
    if (adapter.queue.size() == 1)
        placement.reindex(adapter);
    update_awaiting_load(adapter);
}

void cell_state::dequeue(pending_request& request)
{
    assert(!request.granted);
    auto& adapter = *request.adapter;
    auto& team = *request.team;
    auto& kind = *adapter.kind;
    --counts.queued;
    expiries.erase(&request);
    team.waiting.erase(&request);
    if (--team.queued == 0)
    {
        kind.backlogged_weight -= team.weight;
        team.queued_seconds.clear();
    }
    else
    {
        auto const level = team.queued_seconds.find(request.request.priority);
        level->second = std::max(0.0, level->second - request.seconds);
    }
    if (request.request.isolated)
    {
        std::erase(kind.isolated_queue, &request);
        --adapter.isolated_count;
        placement.reindex(adapter);
        if (kind.isolated_queue.empty())
            std::erase(kinds_with_isolated, &kind);
        return;
    }
    adapter.queue.remove(&request);
    if (adapter.queue.empty())
        placement.reindex(adapter);
    update_awaiting_load(adapter);
}

void cell_state::refuse(pending_request& request, refusal why, cell_actions& out)
{
    assert(!request.granted);
    assert(answer_of(why.reason).result == outcome::not_run);
    ++counts.refusals;

    // Callers that were refused together do not come back together
    out.push_back(refuse_action{.request = request.request.request,
                                .entry = request.request.entry,
                                .reason = why.reason,
                                .retry_after = jittered(why.retry_after, random)});
    forget(request);
}

void cell_state::refuse_queue(adapter_state& adapter, refusal why, cell_actions& out)
{
    while (auto* const request = adapter.queue.first())
    {
        dequeue(*request);
        refuse(*request, why, out);
    }
}

bool cell_state::shed_longest_queue(kind_state const& kind, team_share const& team,
                                    cell_actions& out)
{
    // The team with the longest queue for its weight
    auto const load = [](team_share const& share)
    { return static_cast<double>(share.queued) / share.weight; };
    team_share* longest = nullptr;
    for (auto& [id, share] : teams)
    {
        auto const other_kind = share.kind != &kind;
        if (other_kind || share.waiting.empty())
            continue;
        if (longest == nullptr || load(share) > load(*longest) ||
            (load(share) == load(*longest) && share.id < longest->id))
            longest = &share;
    }
    if (longest == nullptr || load(*longest) <= load(team) + 1.0)
        return false;
    auto* const latest = *longest->waiting.rbegin();
    if (latest->endpoint != nullptr)
        return false;
    dequeue(*latest);
    refuse(*latest, {error_kind::queue_full, endpoint_retry}, out);
    return true;
}

void cell_state::expire(time_point now, cell_actions& out)
{
    while (!expiries.empty() && (*expiries.begin())->latest_start < now)
    {
        auto& request = **expiries.begin();
        cancel_reservation(request, now, out);
        dequeue(request);
        auto const wait = std::max(load_wait(request, now), capacity_wait(request));
        refuse(request,
               {error_kind::deadline_unreachable, std::max(wait, shortest_retry)}, out);
    }
}

void cell_state::forget(pending_request& request)
{
    --request.adapter->references;
    auto const id = request.request.request;
    requests.erase(id);
}

} // namespace marjorampath
