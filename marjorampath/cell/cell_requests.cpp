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

// Shortest time after which a refused caller may retry
constexpr duration min_retry_after = std::chrono::milliseconds(250);

// Time after which a caller may retry where no better estimate exists
constexpr duration default_retry_after = std::chrono::seconds(1);

// Number of requests between two checks for idle adapters to erase
constexpr std::uint64_t adapter_sweep_interval = 4'096;

// Fraction of the time until the latest start that an admitted request may be expected
// to wait. The rest covers errors of the estimates, so that admitted requests finish in
// time.
constexpr double admissible_wait_ratio = 0.7;

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

void cell_state::request(grant_request const& received, time_point now, cell_actions& out)
{
    auto const [found, added] = requests.try_emplace(received.request);
    if (!added)
        return;
    if (next_sequence % adapter_sweep_interval == 0 &&
        placement.adapter_count() > options.adapter_bound)
        placement.erase_idle_adapters();
    auto& kind = placement.kind(received.endpoints);
    auto& request = found->second;
    request.received = received;
    request.sequence = next_sequence++;
    request.arrived = now;
    request.team = &team(kind, received.team);
    request.adapter = &placement.adapter(kind, received.adapter);
    ++request.adapter->references;
    if (request.team->queued == 0)
        request.team->weight = std::max(1U, received.team_weight);
    auto const service = kind.service.expect(received.max_tokens);
    request.latest_start = received.deadline - service;
    request.service_seconds = seconds_double(service).count();

    // Refused requests count as demand too
    kind.clock.tick(request.adapter->needs_load() && request.adapter->resident == 0,
                    options.demand_half_life * static_cast<double>(kind.slots));
    request.adapter->demand.add(kind.clock.half_lives());
    placement.reindex(*request.adapter);

    // Retries are limited to a fraction of the team's first attempts, plus a burst
    if (received.attempt == 0)
        request.team->retries.add(options.retry_ratio);
    else if (!request.team->retries.available(now))
        return refuse(request, {error_kind::queue_full, default_retry_after}, out);
    else
        request.team->retries.take(now);

    // Grants at once where an endpoint that holds the adapter has capacity
    if (!received.isolated && now <= request.latest_start)
        if (auto* const endpoint = choose_endpoint(request, now))
            return grant(request, *endpoint, now, out);
    if (auto const why = check_admission(request, now))
        return refuse(request, *why, out);
    if (counts.queued >= options.queue_bound &&
        !shed_longest_queue(kind, *request.team, out))
        return refuse(request, {error_kind::queue_full, default_retry_after}, out);
    enqueue(request);
}

std::optional<refusal> cell_state::check_admission(pending_request const& request,
                                                   time_point now) const
{
    auto const& adapter = *request.adapter;
    if (adapter.kind->usable == 0)
        return refusal{error_kind::no_endpoint, default_retry_after};
    auto const missing = adapter.needs_load() && adapter.resident == 0;
    if (missing && adapter.loading == 0)
    {
        if (!orders_allowed)
            return refusal{error_kind::no_endpoint, default_retry_after};

        // Requests for a bad version are refused until its back-off ends and a load
        // probes it
        auto const pause = adapter.backoff.not_before() - now;
        auto const bad = adapter.backoff.failures() >= options.bad_version_failures;
        if (pause > duration(0) &&
            (bad || adapter.backoff.not_before() > request.latest_start))
            return refusal{error_kind::load_failed, std::max(pause, min_retry_after)};
    }

    // Refuses at once where the request is not expected to finish in time
    auto const slack = request.latest_start - now;
    auto const wait = std::max(load_wait(request, now), capacity_wait(request));
    auto const admissible =
        to_duration(seconds_double(slack).count() * admissible_wait_ratio);
    if (slack < duration(0) || wait > admissible)
        return refusal{error_kind::deadline_unreachable,
                       std::max(wait - admissible, min_retry_after)};
    return std::nullopt;
}

duration cell_state::load_wait(pending_request const& request, time_point now) const
{
    auto const& adapter = *request.adapter;
    if (!adapter.needs_load() || adapter.resident > 0)
        return duration(0);
    if (adapter.loading > 0 || options.loads_per_second <= 0)
        return options.load_time;

    // Assumes that all adapters already awaiting a load are loaded first
    auto const ahead =
        static_cast<double>(awaiting_load.size()) / options.loads_per_second;
    auto const permit = permits.next_available(now) - now;
    return permit + to_duration(ahead) + options.load_time;
}

duration cell_state::capacity_wait(pending_request const& request) const
{
    auto const& adapter = *request.adapter;
    auto const& kind = *adapter.kind;
    auto const& team = *request.team;
    if (kind.concurrency == 0)
        return default_retry_after;

    // The team's queue, at the team's share of the kind's concurrency
    auto const others = kind.backlogged_weight - (team.queued > 0 ? team.weight : 0);
    auto const share = team.weight / (team.weight + std::max(0.0, others));
    auto const capacity = static_cast<double>(kind.concurrency) * share;
    auto wait = team.seconds_ahead(request.received.priority) / capacity;

    // The adapter's queue, at the endpoints that have a copy of it
    if (adapter.needs_load() && adapter.resident > 0)
    {
        double concurrency = 0;
        for (auto const* const endpoint : adapter.endpoints)
            concurrency += endpoint->concurrency;
        wait = std::max(wait, adapter.queue.service_seconds() / concurrency);
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
        // A team gains no credit while idle
        team.virtual_time = std::max(team.virtual_time, kind.virtual_time);
        kind.backlogged_weight += team.weight;
    }
    ++team.queued;
    team.queued_seconds[request.received.priority] += request.service_seconds;
    ++counts.queued;
    expiries.insert(&request);
    team.waiting.insert(&request);
    if (request.received.isolated)
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
        auto const level = team.queued_seconds.find(request.received.priority);
        level->second = std::max(0.0, level->second - request.service_seconds);
    }
    if (request.received.isolated)
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

    // Jitter spreads the retries of callers that are refused at the same time
    out.push_back(refuse_action{.request = request.received.request,
                                .entry = request.received.entry,
                                .reason = why.reason,
                                .retry_after = jittered(why.retry_after, random)});
    erase_request(request);
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
    // Finds the team with the longest queue for its weight
    auto const relative_queue = [](team_share const& share)
    { return static_cast<double>(share.queued) / share.weight; };
    team_share* longest = nullptr;
    for (auto& [id, share] : teams)
    {
        auto const other_kind = share.kind != &kind;
        if (other_kind || share.waiting.empty())
            continue;
        if (longest == nullptr || relative_queue(share) > relative_queue(*longest) ||
            (relative_queue(share) == relative_queue(*longest) && share.id < longest->id))
            longest = &share;
    }
    if (longest == nullptr || relative_queue(*longest) <= relative_queue(team) + 1.0)
        return false;
    auto* const latest = *longest->waiting.rbegin();
    if (latest->endpoint != nullptr)
        return false;
    dequeue(*latest);
    refuse(*latest, {error_kind::queue_full, default_retry_after}, out);
    return true;
}

void cell_state::refuse_expired(time_point now, cell_actions& out)
{
    while (!expiries.empty() && (*expiries.begin())->latest_start < now)
    {
        auto& request = **expiries.begin();
        cancel_reservation(request, now, out);
        dequeue(request);
        auto const wait = std::max(load_wait(request, now), capacity_wait(request));
        refuse(request,
               {error_kind::deadline_unreachable, std::max(wait, min_retry_after)}, out);
    }
}

void cell_state::erase_request(pending_request& request)
{
    --request.adapter->references;
    auto const id = request.received.request;
    requests.erase(id);
}

} // namespace marjorampath
