#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/limits/jitter.hpp>

#include <algorithm>
#include <cassert>

namespace marjorampath
{

namespace
{

// Weight of the latest attempt in the moving averages of failures and refusals
constexpr double rate_weight = 0.15;
// Number of prompt parts per engine above which old ones are removed
constexpr std::size_t max_prompt_parts = 4'096;
// Lowest rate that a limit counts as, in requests per second
constexpr double min_permit_rate = 0.1;
// First pause before a late adapter is tried again; doubled with each further refusal
constexpr duration first_retry_pause = std::chrono::milliseconds(60);
// Longest pause before a late adapter is tried again; also the largest ready margin
constexpr duration max_retry_pause = std::chrono::milliseconds(480);
// Changes of the ready margin: a refusal shortly after `ready_at` raises it, a success
// shortly after reduces it. The margin settles at about one such refusal for sixteen
// successes
constexpr duration margin_rise = std::chrono::milliseconds(16);
constexpr duration margin_fall = std::chrono::milliseconds(1);

// Adds an attempt to a moving average of failures or refusals
void update_rate(double& rate, bool occurred)
{
    rate += rate_weight * ((occurred ? 1.0 : 0.0) - rate);
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
    model_services_.clear();
    for (auto const& service : services)
        if (service.engine)
            model_services_.emplace(service.id, *service.engine);
}

void dispatcher::on_endpoint(endpoint_event const& event, time_point now)
{
    auto const& announced = event.endpoint;
    if (event.change == endpoint_change::gone)
    {
        endpoints_.erase(announced.id);
        return;
    }
    auto& view = endpoints_[announced.id];

    // Requests in flight at the earlier process are not counted for the new one, but
    // their later ends still reduce its counts
    if (event.change == endpoint_change::restarted)
        view = {};
    auto const models = std::move(view.announced.models);
    view.announced = announced;

    // Announcements lag, so recent reports and answers take precedence
    auto const recent = now - status_max_age_ * 2;
    if (view.accepting_status_at > recent)
    {
        view.announced.models = models;
        return;
    }
    std::erase_if(view.adapters,
                  [&](auto const& entry) { return entry.second.known_at < recent; });
    for (auto const& held : announced.adapters)
        view.adapters.try_emplace(held.name, adapter_estimate{.present = true,
                                                              .version = held.version,
                                                              .ready_at = now,
                                                              .known_at = recent});
}

void dispatcher::on_status(engine_status const& status, time_point now)
{
    auto const found = endpoints_.find(status.endpoint);
    if (found == endpoints_.end() ||
        found->second.announced.started_at_ms != status.started_at_ms ||
        now < found->second.last_status_at)
        return;
    auto& view = found->second;
    view.last_status_at = now;
    view.accepting_status_at = status.accepts_orders ? now : time_point{};
    view.accepts_orders_at.reset();
    if (!status.accepts_orders)
        view.accepts_orders_at = now + status.accepts_orders_in;
    view.free_adapter_slots = status.free_adapter_slots;
    view.announced.models = status.models;
    view.others_in_flight = status.in_flight - std::min(status.in_flight, view.in_flight);
    view.others_waiting_tokens =
        status.waiting_tokens - std::min(status.waiting_tokens, view.waiting_tokens);
    view.others_tokens = status.tokens - std::min(status.tokens, view.tokens);

    // The engine's own recent answers are newer than the report
    std::erase_if(view.adapters, [&](auto const& entry)
                  { return now - entry.second.known_at > options_.answer_precedence; });
    for (auto const& adapter : status.adapters)
    {
        auto const known = view.adapters.try_emplace(
            adapter.name,
            adapter_estimate{.present = true,
                             .version = adapter.version,
                             .ready_at = expected_ready_at(now, adapter.ready_in),
                             .known_at = now - options_.answer_precedence});
        known.first->second.requests = adapter.requests;
    }
}

void dispatcher::on_others_in_flight(endpoint_id endpoint, std::uint32_t in_flight)
{
    auto const found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
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

void dispatcher::set_rate_limit(endpoint_id endpoint, std::optional<double> limit)
{
    if (limit)
        rate_limits_[endpoint].rate = *limit;
    else
        rate_limits_.erase(endpoint);
}

void dispatcher::on_permit_refused(endpoint_id endpoint, time_point until)
{
    auto const found = rate_limits_.find(endpoint);
    if (found != rate_limits_.end())
        found->second.next_permit_at = until;
}

void dispatcher::on_pause_requested(endpoint_id endpoint, std::uint64_t started_at_ms,
                                    time_point until)
{
    auto const found = endpoints_.find(endpoint);
    if (found != endpoints_.end() &&
        found->second.announced.started_at_ms == started_at_ms)
        found->second.paused_until = std::max(found->second.paused_until, until);
}

time_point dispatcher::held_until(endpoint_id endpoint, endpoint_view const& view) const
{
    auto const limit = rate_limits_.find(endpoint);
    return limit == rate_limits_.end()
               ? view.paused_until
               : std::max(view.paused_until, limit->second.next_permit_at);
}

duration dispatcher::permit_interval(endpoint_id endpoint) const
{
    auto const found = rate_limits_.find(endpoint);
    if (found == rate_limits_.end())
        return duration{0};
    auto const rate = std::max(found->second.rate, min_permit_rate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate));
}

endpoint_view const* dispatcher::find(endpoint_id endpoint) const
{
    auto const found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::size_t dispatcher::usable_endpoints(service_id service, time_point now) const
{
    return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(),
                                                  [&](auto const& entry)
                                                  {
                                                      auto const& view = entry.second;
                                                      return view.announced.service ==
                                                                 service &&
                                                             !view.announced.draining &&
                                                             view.breaker.allows(now);
                                                  }));
}

adapter_estimate const* dispatcher::find_estimate(endpoint_view const& view,
                                                  std::string const& adapter)
{
    auto const found = view.adapters.find(adapter);
    return found == view.adapters.end() || !found->second.present ? nullptr
                                                                  : &found->second;
}

void dispatcher::on_sent(call const& request, endpoint_id endpoint, time_point now)
{
    auto const found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    auto& view = found->second;
    ++view.in_flight;
    view.unanswered[request.id] = now;
    view.breaker.granted();
    view.waiting_tokens += request.prompt_tokens;
    view.tokens += request.prompt_tokens + request.output_tokens;
    if (!request.adapter.empty())
    {
        auto& use = view.uses[request.adapter];
        ++use.in_flight;
        ++use.sent;
    }
    if (view.parts.size() > max_prompt_parts)
        std::erase_if(view.parts, [&](auto const& entry)
                      { return now - entry.second > options_.prompt_part_lifetime; });
    for (auto const& part : request.parts)
        view.parts[part_key(request, part)] = now;
}

void dispatcher::on_first_event(call const& request, endpoint_id endpoint)
{
    auto const found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    found->second.unanswered.erase(request.id);
    auto& waiting = found->second.waiting_tokens;
    waiting -= std::min<std::uint64_t>(waiting, request.prompt_tokens);
}

void dispatcher::note_load_in_time(endpoint_view& view, std::string const& adapter,
                                   time_point now)
{
    auto const found = view.adapters.find(adapter);
    if (found == view.adapters.end() || found->second.retry_pause > duration{0} ||
        now - found->second.ready_at > status_max_age_)
        return;
    ready_margin_ -= std::min(ready_margin_, margin_fall);
}

bool dispatcher::postpone_late_load(endpoint_view& view, std::string const& adapter,
                                    time_point now)
{
    auto const found = view.adapters.find(adapter);
    if (found == view.adapters.end() ||
        now - found->second.ready_at > options_.answer_precedence)
        return false;
    auto& late = found->second;
    late.retry_pause =
        std::min(std::max(late.retry_pause * 2, first_retry_pause), max_retry_pause);
    late.ready_at = now + late.retry_pause;
    late.known_at = now;
    ready_margin_ = std::min(ready_margin_ + margin_rise, max_retry_pause);
    return true;
}

void dispatcher::on_ended(call const& request, endpoint_id endpoint, attempt_end end,
                          bool begun, time_point now)
{
    auto const found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    if (!begun)
        on_first_event(request, endpoint);
    auto& view = found->second;
    view.unanswered.erase(request.id);
    view.in_flight -= std::min<std::uint32_t>(view.in_flight, 1);
    auto const tokens =
        static_cast<std::uint64_t>(request.prompt_tokens) + request.output_tokens;
    view.tokens -= std::min(view.tokens, tokens);
    auto const use = view.uses.find(request.adapter);
    if (use != view.uses.end() && use->second.in_flight > 0)
        --use->second.in_flight;

    backoff_limits const limits{.first = options_.ejection_pause,
                                .longest = options_.max_ejection_pause};
    switch (end)
    {
    case attempt_end::finished:
        view.breaker.succeed();
        update_rate(view.failure_rate, false);
        update_rate(view.refusal_rate, false);
        note_load_in_time(view, request.adapter, now);
        break;
    case attempt_end::failed:
        // An error answer shows that the endpoint is responsive
        view.breaker.succeed();
        update_rate(view.failure_rate, true);
        break;
    case attempt_end::refused:
        view.breaker.inconclusive();
        // A pause says that the endpoint is full, not that the adapter is late
        if (view.paused_until > now || !postpone_late_load(view, request.adapter, now))
            update_rate(view.refusal_rate, true);
        break;
    case attempt_end::adapter_missing:
        view.breaker.inconclusive();
        view.adapters[request.adapter] = {.present = false, .known_at = now};
        break;
    case attempt_end::another_instance:
    case attempt_end::unreachable:
        view.breaker.fail(1, limits, now, random_);
        break;
    case attempt_end::lost:
    case attempt_end::invalid_answer:
    case attempt_end::timed_out:
        update_rate(view.failure_rate, true);
        view.breaker.fail(options_.ejection_threshold, limits, now, random_);
        break;
    case attempt_end::oversized_answer:
        update_rate(view.failure_rate, true);
        view.breaker.fail(1, limits, now, random_);
        break;
    case attempt_end::cancelled:
    case attempt_end::unread:
        view.breaker.inconclusive();
        break;
    }
}

void dispatcher::on_load_reply(load_reply const& reply, time_point now)
{
    auto const found = endpoints_.find(reply.endpoint);
    if (found == endpoints_.end())
        return;
    auto& view = found->second;
    if (!reply.accepted)
    {
        view.load_requests[reply.adapter] = {
            .reply_deadline = {}, .refused_until = now + options_.load_refusal_pause};
        return;
    }
    view.load_requests.erase(reply.adapter);
    view.adapters[reply.adapter] = {.present = true,
                                    .ready_at = expected_ready_at(now, reply.ready_in),
                                    .known_at = now};
}

time_point dispatcher::expected_ready_at(time_point now, duration ready_in) const
{
    return ready_in > duration{0} ? now + ready_in + ready_margin_ : now;
}

std::optional<endpoint_usage> dispatcher::take_usage(endpoint_id endpoint, time_point now)
{
    auto const found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return std::nullopt;
    auto& view = found->second;
    endpoint_usage usage{.endpoint = endpoint,
                         .in_flight = view.in_flight,
                         .waiting_tokens = view.waiting_tokens,
                         .tokens = view.tokens,
                         .adapters = {}};
    for (auto& [name, use] : view.uses)
    {
        if (use.in_flight > 0 || use.sent > 0)
            usage.adapters.push_back(
                {.name = name, .in_flight = use.in_flight, .sent = use.sent});
        use.sent = 0;
    }
    std::erase_if(view.load_requests,
                  [&](auto const& entry) {
                      return std::max(entry.second.reply_deadline,
                                      entry.second.refused_until) < now;
                  });
    std::erase_if(view.uses,
                  [](auto const& entry) { return entry.second.in_flight == 0; });
    return usage;
}

} // namespace marjorampath
