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
// Room of an engine's cache beyond which newcomers are expected to be preempted
constexpr double cache_fill = 0.9;
// What a request that does not fit into the cache waits at least
constexpr duration cache_wait = std::chrono::milliseconds(400);
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
// Size of the steps in which queues are compared when a load is placed, so that hosts
// whose views differ a little choose the same engine
constexpr duration queue_step = std::chrono::milliseconds(40);

duration from_ms(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

std::uint64_t part_key(call const& request, prompt_part const& part)
{
    auto const& holder = request.adapter.empty() ? request.model : request.adapter;
    return hash_combine(hash_bytes(holder), part.id);
}

void move_rate(double& rate, bool bad)
{
    rate += rate_step * ((bad ? 1.0 : 0.0) - rate);
}

} // namespace

dispatcher::dispatcher(zone_id zone, dispatch_options options)
    : zone_(zone), options_(options),
      random_(static_cast<std::minstd_rand::result_type>(options.seed))
{
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
    auto const recent = now - options_.status_memory * 2;
    if (load.status_at > recent)
    {
        load.announced.models = models;
        return;
    }
    std::erase_if(load.adapters,
                  [&](auto const& entry) { return entry.second.known_at < recent; });
    for (auto const& held : announced.adapters)
        load.adapters.try_emplace(held.name, adapter_belief{.present = true,
                                                            .version = held.version,
                                                            .ready_at = now,
                                                            .known_at = recent});
}

void dispatcher::on_status(engine_status const& status, time_point now)
{
    auto const found = loads_.find(status.endpoint);
    if (found == loads_.end() || found->second.announced.born != status.born)
        return;
    auto& load = found->second;
    load.status_at = status.orderable ? now : time_point{};
    load.orderable_at.reset();
    if (!status.orderable)
        load.orderable_at = now + status.orderable_in;
    load.free_places = status.free_places;
    load.announced.models = status.models;
    load.others_in_flight = status.in_flight - std::min(status.in_flight, load.in_flight);
    load.others_waiting_tokens =
        status.waiting_tokens - std::min(status.waiting_tokens, load.waiting_tokens);
    load.others_tokens = status.tokens - std::min(status.tokens, load.tokens);

    // What the engine itself answered lately is newer than the report
    std::erase_if(load.adapters, [&](auto const& entry)
                  { return now - entry.second.known_at > options_.answer_memory; });
    for (auto const& adapter : status.adapters)
        load.adapters.try_emplace(
            adapter.name, adapter_belief{.present = true,
                                         .version = adapter.version,
                                         .ready_at = arrival(now, adapter.ready_in),
                                         .known_at = now - options_.answer_memory});
}

void dispatcher::on_others(endpoint_id endpoint, std::uint32_t in_flight)
{
    auto const found = loads_.find(endpoint);
    if (found != loads_.end())
        found->second.others_in_flight = in_flight;
}

void dispatcher::on_version(std::string const& adapter, std::uint64_t version,
                            time_point /*now*/)
{
    auto& known = versions_[adapter];
    known = std::max(known, version);
}

std::uint64_t dispatcher::required_version(std::string const& adapter) const
{
    auto const found = versions_.find(adapter);
    return found == versions_.end() ? 0 : found->second;
}

endpoint_load const* dispatcher::find(endpoint_id endpoint) const
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

duration dispatcher::queue_time(endpoint_load const& load) const
{
    auto const tokens =
        static_cast<double>(load.waiting_tokens + load.others_waiting_tokens);
    auto const running =
        static_cast<std::int64_t>(load.in_flight) + load.others_in_flight;
    return from_ms(tokens / options_.prefill_tokens_per_ms) +
           options_.running_cost * running;
}

duration dispatcher::prefill_time(call const& request, endpoint_load const& load,
                                  time_point now) const
{
    // A part is reused only where all parts before it are
    std::uint32_t cached = 0;
    for (auto const& part : request.parts)
    {
        auto const found = load.parts.find(part_key(request, part));
        if (found == load.parts.end() || now - found->second > options_.part_memory)
            break;
        cached += part.tokens;
    }
    auto const left = request.prompt_tokens - std::min(cached, request.prompt_tokens);
    return from_ms(left / options_.prefill_tokens_per_ms);
}

duration dispatcher::failure_cost(endpoint_load const& load, duration objective)
{
    auto const objective_ms =
        std::chrono::duration<double, std::milli>(objective).count();
    return from_ms(objective_ms * (load.failure_rate + load.refusal_rate));
}

duration dispatcher::silence_cost(endpoint_load const& load, duration objective,
                                  time_point now) const
{
    auto longest = duration{0};
    for (auto const& [id, sent_at] : load.unanswered)
        longest = std::max(longest, now - sent_at);
    auto const tolerated = objective * 2 + queue_time(load) * 2;
    return longest > tolerated ? longest : duration{0};
}

adapter_belief const* dispatcher::belief(endpoint_load const& load,
                                         std::string const& adapter)
{
    auto const found = load.adapters.find(adapter);
    return found == load.adapters.end() || !found->second.present ? nullptr
                                                                  : &found->second;
}

dispatch_decision dispatcher::refuse(error_kind reason, duration pause)
{
    return {.act = dispatch_act::refuse,
            .reason = reason,
            .retry_after = jittered(pause, random_)};
}

std::vector<dispatcher::candidate> dispatcher::usable(call const& request,
                                                      std::span<endpoint_id const> tried,
                                                      time_point now)
{
    std::vector<candidate> found;
    auto const subject = request.adapter.empty() ? adapter_id(request.id.number())
                                                 : adapter_id::of(request.adapter);
    for (auto& [id, load] : loads_)
    {
        auto const& announced = load.announced;
        if (announced.service != request.service || announced.draining ||
            !load.breaker.allows(now) ||
            std::find(tried.begin(), tried.end(), id) != tried.end())
            continue;
        auto expected = failure_cost(load, request.objective) +
                        silence_cost(load, request.objective, now);
        if (announced.zone != zone_)
            expected += options_.other_zone_cost;
        found.push_back({.load = &load,
                         .expected = expected,
                         .rank = rendezvous_weight(subject, id)});
    }
    return found;
}

dispatch_decision dispatcher::decide(call const& request,
                                     std::span<endpoint_id const> tried, time_point now)
{
    auto found = usable(request, tried, now);
    if (found.empty())
        return refuse(error_kind::no_endpoint, options_.retry_pause);
    if (engines_.contains(request.service))
        return decide_model(request, std::move(found), now);
    return decide_plain(request, std::move(found), now);
}

dispatch_decision dispatcher::decide_plain(call const& request,
                                           std::vector<candidate> found, time_point now)
{
    // Requests beyond the slots of an endpoint wait there for a whole one to end
    for (auto& each : found)
    {
        auto const& load = *each.load;
        auto const running = load.in_flight + load.others_in_flight;
        auto const slots = std::max<std::uint32_t>(load.announced.slots, 1);
        each.expected += request.objective / 4 * running / slots;
    }
    auto const best = std::min_element(found.begin(), found.end(),
                                       [](auto const& left, auto const& right)
                                       {
                                           return left.expected != right.expected
                                                      ? left.expected < right.expected
                                                      : left.rank < right.rank;
                                       });
    if (best->expected > request.deadline - now)
        return refuse(error_kind::deadline_unreachable, best->expected);
    return {.act = dispatch_act::send,
            .endpoint = best->load->announced.id,
            .expected = best->expected};
}

dispatch_decision dispatcher::decide_model(call const& request,
                                           std::vector<candidate> found, time_point now)
{
    auto const cache_tokens =
        cache_fill * static_cast<double>(engines_.at(request.service).cache_tokens);
    auto const needed = request.prompt_tokens + request.output_tokens;
    candidate const* best = nullptr;
    std::vector<candidate> absent;
    for (auto& each : found)
    {
        auto const& load = *each.load;
        auto const& models = load.announced.models;
        if (std::find(models.begin(), models.end(), request.model) == models.end())
            continue;
        each.expected += queue_time(load) + prefill_time(request, load, now);
        if (static_cast<double>(load.tokens + load.others_tokens + needed) > cache_tokens)
            each.expected += cache_wait;
        if (request.adapter.empty())
        {
            if (!best || each.expected < best->expected)
                best = &each;
            continue;
        }
        auto const* held = belief(load, request.adapter);
        auto const required = required_version(request.adapter);
        if (!held || (held->version != 0 && held->version < required))
        {
            absent.push_back(each);
            continue;
        }
        if (held->ready_at > now)
            each.expected += held->ready_at - now;
        if (!best || each.expected < best->expected)
            best = &each;
    }

    auto const* target =
        request.adapter.empty() ? nullptr : load_target(request.adapter, absent, now);
    if (!best)
        return wait_for_load(request, target, now);

    auto const left = request.deadline - now;
    auto const longest =
        from_ms(options_.longest_wait *
                std::chrono::duration<double, std::milli>(request.objective).count());
    if (best->expected > std::min(left, longest))
        return refuse(error_kind::deadline_unreachable,
                      best->expected - std::min(best->expected, request.objective / 2));

    // A further copy pays where the queue at the present ones is long
    std::optional<load_wish> wish;
    if (target && !is_coming(request, now) &&
        best->expected >
            options_.adapter_load_time + target->expected + options_.copy_gain)
        wish = load_wish{target->load->announced.id, request.adapter};
    if (wish)
        target->load->asked_loads[request.adapter].answer_until =
            now + options_.load_answer_timeout;

    auto const& load = *best->load;
    auto const* held = belief(load, request.adapter);
    if (held && held->ready_at > now)
        return {.act = dispatch_act::wait,
                .endpoint = load.announced.id,
                .expected = best->expected,
                .load = wish,
                .recheck = std::min(held->ready_at, now + recheck_interval * 4)};
    return {.act = dispatch_act::send,
            .endpoint = load.announced.id,
            .expected = best->expected,
            .load = wish};
}

dispatcher::candidate const* dispatcher::load_target(std::string const& adapter,
                                                     std::vector<candidate> const& absent,
                                                     time_point now)
{
    candidate const* best = nullptr;
    auto const steps = [](candidate const& each)
    {
        return (each.expected + (each.load->free_places > 0 ? duration{0} : queue_step)) /
               queue_step;
    };
    for (auto const& each : absent)
    {
        auto const& load = *each.load;
        auto const asked = load.asked_loads.find(adapter);
        if (now - load.status_at > options_.status_memory ||
            (asked != load.asked_loads.end() &&
             (asked->second.answer_until > now || asked->second.refused_until > now)))
            continue;
        if (!best || steps(each) < steps(*best) ||
            (steps(each) == steps(*best) && each.rank > best->rank))
            best = &each;
    }
    return best;
}

bool dispatcher::place_may_come(call const& request, time_point now) const
{
    auto const patience =
        from_ms(options_.place_patience *
                std::chrono::duration<double, std::milli>(request.objective).count());
    if (request.adapter.empty() || now - request.arrived >= patience)
        return false;
    return std::any_of(loads_.begin(), loads_.end(),
                       [&](auto const& entry)
                       {
                           auto const& load = entry.second;
                           return load.announced.service == request.service &&
                                  !load.announced.draining &&
                                  now - load.status_at <= options_.status_memory;
                       });
}

duration dispatcher::time_to_orders(service_id service, time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, load] : loads_)
    {
        if (load.announced.service != service || load.announced.draining)
            continue;
        if (now - load.status_at <= options_.status_memory)
            return options_.retry_pause;
        if (load.orderable_at && *load.orderable_at > now)
            first = std::min(first.value_or(*load.orderable_at), *load.orderable_at);
    }

    // Behind the first orders come the loads
    return first ? *first - now + options_.adapter_load_time : options_.lease_pause;
}

dispatch_decision dispatcher::wait_for_load(call const& request, candidate const* target,
                                            time_point now)
{
    // A load that was asked for and not answered yet is waited for
    if (auto const pending = unanswered_load(request, now))
        return {.act = dispatch_act::wait, .recheck = *pending};
    if (!target && place_may_come(request, now))
        return {.act = dispatch_act::wait, .recheck = now + options_.load_refusal_pause};
    if (!target || request.adapter.empty())
        return refuse(error_kind::no_endpoint, time_to_orders(request.service, now));

    auto const expected = options_.adapter_load_time + target->expected;
    if (expected > request.deadline - now)
        return refuse(error_kind::deadline_unreachable, expected);
    target->load->asked_loads[request.adapter].answer_until =
        now + options_.load_answer_timeout;
    return {.act = dispatch_act::wait,
            .endpoint = target->load->announced.id,
            .expected = expected,
            .load = load_wish{target->load->announced.id, request.adapter},
            .recheck = now + options_.load_answer_timeout};
}

std::optional<time_point> dispatcher::unanswered_load(call const& request,
                                                      time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, load] : loads_)
    {
        auto const asked = load.asked_loads.find(request.adapter);
        if (asked == load.asked_loads.end() || asked->second.answer_until <= now)
            continue;
        first = std::min(first.value_or(asked->second.answer_until),
                         asked->second.answer_until);
    }
    return first;
}

bool dispatcher::is_coming(call const& request, time_point now) const
{
    if (unanswered_load(request, now))
        return true;
    return std::any_of(loads_.begin(), loads_.end(),
                       [&](auto const& entry)
                       {
                           auto const* held = belief(entry.second, request.adapter);
                           return held && held->ready_at > now;
                       });
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
                      { return now - entry.second > options_.part_memory; });
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

void dispatcher::note_arrival(endpoint_load& load, std::string const& adapter,
                              time_point now)
{
    auto const found = load.adapters.find(adapter);
    if (found == load.adapters.end() || found->second.delay > duration{0} ||
        now - found->second.ready_at > options_.status_memory)
        return;
    arrival_margin_ -= std::min(arrival_margin_, margin_fall);
}

bool dispatcher::delay_arrival(endpoint_load& load, std::string const& adapter,
                               time_point now)
{
    auto const found = load.adapters.find(adapter);
    if (found == load.adapters.end() ||
        now - found->second.ready_at > options_.answer_memory)
        return false;
    auto& coming = found->second;
    coming.delay = std::min(std::max(coming.delay * 2, recheck_interval), longest_delay);
    coming.ready_at = now + coming.delay;
    coming.known_at = now;
    arrival_margin_ = std::min(arrival_margin_ + margin_rise, longest_delay);
    return true;
}

void dispatcher::on_ended(call const& request, endpoint_id endpoint, call_end end,
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
                                .longest = options_.longest_ejection};
    switch (end)
    {
    case call_end::finished:
        load.breaker.succeed();
        move_rate(load.failure_rate, false);
        move_rate(load.refusal_rate, false);
        note_arrival(load, request.adapter, now);
        break;
    case call_end::failed:
        load.breaker.succeed();
        move_rate(load.failure_rate, true);
        break;
    case call_end::refused:
        load.breaker.inconclusive();
        if (!delay_arrival(load, request.adapter, now))
            move_rate(load.refusal_rate, true);
        break;
    case call_end::adapter_missing:
        load.breaker.inconclusive();
        load.adapters[request.adapter] = {.present = false, .known_at = now};
        break;
    case call_end::another_instance:
    case call_end::unreachable:
        load.breaker.fail(1, limits, now, random_);
        break;
    case call_end::lost:
    case call_end::garbled:
    case call_end::timed_out:
        move_rate(load.failure_rate, true);
        load.breaker.fail(options_.ejection_threshold, limits, now, random_);
        break;
    case call_end::cancelled:
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
        load.asked_loads[reply.adapter] = {
            .answer_until = {}, .refused_until = now + options_.load_refusal_pause};
        return;
    }
    load.asked_loads.erase(reply.adapter);
    load.adapters[reply.adapter] = {
        .present = true, .ready_at = arrival(now, reply.ready_in), .known_at = now};
}

time_point dispatcher::arrival(time_point now, duration ready_in) const
{
    return ready_in > duration{0} ? now + ready_in + arrival_margin_ : now;
}

std::optional<engine_usage> dispatcher::take_usage(endpoint_id endpoint, time_point now)
{
    auto const found = loads_.find(endpoint);
    if (found == loads_.end())
        return std::nullopt;
    auto& load = found->second;
    engine_usage usage{.endpoint = endpoint,
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
    std::erase_if(load.asked_loads,
                  [&](auto const& entry) {
                      return std::max(entry.second.answer_until,
                                      entry.second.refused_until) < now;
                  });
    std::erase_if(load.uses,
                  [](auto const& entry) { return entry.second.in_flight == 0; });
    return usage;
}

} // namespace marjorampath
