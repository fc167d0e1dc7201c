#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/limits/jitter.hpp>

#include <algorithm>
#include <cassert>

namespace marjorampath
{

namespace
{

// Weight of the latest answer in the rates of failures and refusals
constexpr double rate_step = 0.15;
// Cached parts that are remembered for one engine
constexpr std::size_t max_parts = 4'096;
// Time between two looks at an adapter that is being loaded
constexpr duration recheck_interval = std::chrono::milliseconds(60);
// Longest pause before an adapter that is late is tried again
constexpr duration longest_delay = std::chrono::milliseconds(480);
// What one late adapter adds to the margin behind the expected end of loads, and what one
// in time takes away: about one in sixteen is late
constexpr duration margin_rise = std::chrono::milliseconds(16);
constexpr duration margin_fall = std::chrono::milliseconds(1);

void move_rate(double& rate, bool bad)
{
    rate += rate_step * ((bad ? 1.0 : 0.0) - rate);
}

} // namespace

dispatcher::dispatcher(zone_id zone, dispatch_options options)
    : zone_(zone), options_(options), status_max_age_(options.status_max_age),
      random_(static_cast<std::minstd_rand::result_type>(options.seed))
{
}

void dispatcher::set_status_interval(duration interval)
{
    status_max_age_ =
        std::max(options_.status_max_age, interval * options_.status_max_age_heartbeats);
}

void dispatcher::set_services(std::vector<service_definition> const& services)
{
    engines_.clear();
    for (auto const& service : services)
        if (service.engine)
            engines_.emplace(service.id, *service.engine);
}

void dispatcher::on_endpoint(endpoint_event const& event, time_point now)
{
    auto const& announced = event.endpoint;
    if (event.change == endpoint_change::gone)
    {
        loads_.erase(announced.id);
        return;
    }
    auto& load = loads_[announced.id];

    // Requests in flight at the earlier process end on their own and are not counted
    if (event.change == endpoint_change::restarted)
        load = {};
    auto const models = std::move(load.announced.models);
    load.announced = announced;

    // An announcement lags, so it yields to what was learnt since
    auto const recent = now - status_max_age_ * 2;
    if (load.accepting_status_at > recent)
    {
        load.announced.models = models;
        return;
    }
    std::erase_if(load.adapters,
                  [&](auto const& entry) { return entry.second.known_at < recent; });
    for (auto const& held : announced.adapters)
        load.adapters.try_emplace(held.name, adapter_estimate{.present = true,
                                                              .version = held.version,
                                                              .ready_at = now,
                                                              .known_at = recent});
}

void dispatcher::on_status(engine_status const& status, time_point now)
{
    auto const found = loads_.find(status.endpoint);
    if (found == loads_.end() ||
        found->second.announced.started_at_ms != status.started_at_ms)
        return;
    auto& load = found->second;
    load.last_status_at = now;
    load.accepting_status_at = status.accepts_orders ? now : time_point{};
    load.accepts_orders_at.reset();
    if (!status.accepts_orders)
        load.accepts_orders_at = now + status.accepts_orders_in;
    load.free_adapter_slots = status.free_adapter_slots;
    load.announced.models = status.models;
    load.others_in_flight = status.in_flight - std::min(status.in_flight, load.in_flight);
    load.others_waiting_tokens =
        status.waiting_tokens - std::min(status.waiting_tokens, load.waiting_tokens);
    load.others_tokens = status.tokens - std::min(status.tokens, load.tokens);

    // What the engine itself answered lately is newer than the report
    std::erase_if(load.adapters, [&](auto const& entry)
                  { return now - entry.second.known_at > options_.answer_precedence; });
    for (auto const& adapter : status.adapters)
    {
        auto const known = load.adapters.try_emplace(
            adapter.name, adapter_estimate{.present = true,
                                           .version = adapter.version,
                                           .ready_at = arrival(now, adapter.ready_in),
                                           .known_at = now - options_.answer_precedence});
        known.first->second.requests = adapter.requests;
    }
}

void dispatcher::on_others_in_flight(endpoint_id endpoint, std::uint32_t in_flight)
{
    auto const found = loads_.find(endpoint);
    if (found != loads_.end())
        found->second.others_in_flight = in_flight;
}

void dispatcher::on_version(std::string const& adapter, std::uint64_t version)
{
    auto& known = versions_[adapter];
    known = std::max(known, version);
}

std::uint64_t dispatcher::required_version(std::string const& adapter) const
{
    auto const found = versions_.find(adapter);
    return found == versions_.end() ? 0 : found->second;
}

endpoint_view const* dispatcher::find(endpoint_id endpoint) const
{
    auto const found = loads_.find(endpoint);
    return found == loads_.end() ? nullptr : &found->second;
}

std::size_t dispatcher::usable_endpoints(service_id service, time_point now) const
{
    return static_cast<std::size_t>(std::count_if(loads_.begin(), loads_.end(),
                                                  [&](auto const& entry)
                                                  {
                                                      auto const& load = entry.second;
                                                      return load.announced.service ==
                                                                 service &&
                                                             !load.announced.draining &&
                                                             load.breaker.allows(now);
                                                  }));
}

adapter_estimate const* dispatcher::find_estimate(endpoint_view const& load,
                                                  std::string const& adapter)
{
    auto const found = load.adapters.find(adapter);
    return found == load.adapters.end() || !found->second.present ? nullptr
                                                                  : &found->second;
}

void dispatcher::on_sent(call const& request, endpoint_id endpoint, time_point now)
{
    auto const found = loads_.find(endpoint);
    if (found == loads_.end())
        return;
    auto& load = found->second;
    ++load.in_flight;
    load.unanswered[request.id] = now;
    load.breaker.granted();
    load.waiting_tokens += request.prompt_tokens;
    load.tokens += request.prompt_tokens + request.output_tokens;
    if (!request.adapter.empty())
    {
        auto& use = load.uses[request.adapter];
        ++use.in_flight;
        ++use.sent;
    }
    if (load.parts.size() > max_parts)
        std::erase_if(load.parts, [&](auto const& entry)
                      { return now - entry.second > options_.prompt_part_lifetime; });
    for (auto const& part : request.parts)
        load.parts[part_key(request, part)] = now;
}

void dispatcher::on_first_event(call const& request, endpoint_id endpoint)
{
    auto const found = loads_.find(endpoint);
    if (found == loads_.end())
        return;
    found->second.unanswered.erase(request.id);
    auto& waiting = found->second.waiting_tokens;
    waiting -= std::min<std::uint64_t>(waiting, request.prompt_tokens);
}

void dispatcher::note_load_in_time(endpoint_view& load, std::string const& adapter,
                                   time_point now)
{
    auto const found = load.adapters.find(adapter);
    if (found == load.adapters.end() || found->second.delay > duration{0} ||
        now - found->second.ready_at > status_max_age_)
        return;
    ready_margin_ -= std::min(ready_margin_, margin_fall);
}

bool dispatcher::postpone_late_load(endpoint_view& load, std::string const& adapter,
                                    time_point now)
{
    auto const found = load.adapters.find(adapter);
    if (found == load.adapters.end() ||
        now - found->second.ready_at > options_.answer_precedence)
        return false;
    auto& coming = found->second;
    coming.delay = std::min(std::max(coming.delay * 2, recheck_interval), longest_delay);
    coming.ready_at = now + coming.delay;
    coming.known_at = now;
    ready_margin_ = std::min(ready_margin_ + margin_rise, longest_delay);
    return true;
}

void dispatcher::on_ended(call const& request, endpoint_id endpoint, attempt_end end,
                          bool begun, time_point now)
{
    auto const found = loads_.find(endpoint);
    if (found == loads_.end())
        return;
    if (!begun)
        on_first_event(request, endpoint);
    auto& load = found->second;
    load.unanswered.erase(request.id);
    load.in_flight -= std::min<std::uint32_t>(load.in_flight, 1);
    auto const tokens =
        static_cast<std::uint64_t>(request.prompt_tokens) + request.output_tokens;
    load.tokens -= std::min(load.tokens, tokens);
    auto const use = load.uses.find(request.adapter);
    if (use != load.uses.end() && use->second.in_flight > 0)
        --use->second.in_flight;

    backoff_limits const limits{.first = options_.ejection_pause,
                                .longest = options_.max_ejection_pause};
    switch (end)
    {
    case attempt_end::finished:
        load.breaker.succeed();
        move_rate(load.failure_rate, false);
        move_rate(load.refusal_rate, false);
        note_load_in_time(load, request.adapter, now);
        break;
    case attempt_end::failed:
        load.breaker.succeed();
        move_rate(load.failure_rate, true);
        break;
    case attempt_end::refused:
        load.breaker.inconclusive();
        if (!postpone_late_load(load, request.adapter, now))
            move_rate(load.refusal_rate, true);
        break;
    case attempt_end::adapter_missing:
        load.breaker.inconclusive();
        load.adapters[request.adapter] = {.present = false, .known_at = now};
        break;
    case attempt_end::another_instance:
    case attempt_end::unreachable:
        load.breaker.fail(1, limits, now, random_);
        break;
    case attempt_end::lost:
    case attempt_end::garbled:
    case attempt_end::timed_out:
        move_rate(load.failure_rate, true);
        load.breaker.fail(options_.ejection_threshold, limits, now, random_);
        break;
    case attempt_end::cancelled:
        load.breaker.inconclusive();
        break;
    }
}

void dispatcher::on_load_reply(load_reply const& reply, time_point now)
{
    auto const found = loads_.find(reply.endpoint);
    if (found == loads_.end())
        return;
    auto& load = found->second;
    if (!reply.accepted)
    {
        load.load_requests[reply.adapter] = {
            .reply_deadline = {}, .refused_until = now + options_.load_refusal_pause};
        return;
    }
    load.load_requests.erase(reply.adapter);
    load.adapters[reply.adapter] = {
        .present = true, .ready_at = arrival(now, reply.ready_in), .known_at = now};
}

time_point dispatcher::arrival(time_point now, duration ready_in) const
{
    return ready_in > duration{0} ? now + ready_in + ready_margin_ : now;
}

std::optional<endpoint_usage> dispatcher::take_usage(endpoint_id endpoint, time_point now)
{
    auto const found = loads_.find(endpoint);
    if (found == loads_.end())
        return std::nullopt;
    auto& load = found->second;
    endpoint_usage usage{.endpoint = endpoint,
                         .in_flight = load.in_flight,
                         .waiting_tokens = load.waiting_tokens,
                         .tokens = load.tokens,
                         .adapters = {}};
    for (auto& [name, use] : load.uses)
    {
        if (use.in_flight > 0 || use.sent > 0)
            usage.adapters.push_back(
                {.name = name, .in_flight = use.in_flight, .sent = use.sent});
        use.sent = 0;
    }
    std::erase_if(load.load_requests,
                  [&](auto const& entry) {
                      return std::max(entry.second.reply_deadline,
                                      entry.second.refused_until) < now;
                  });
    std::erase_if(load.uses,
                  [](auto const& entry) { return entry.second.in_flight == 0; });
    return usage;
}

} // namespace marjorampath
