#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/limits/jitter.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

// Room of an engine's cache beyond which newcomers are expected to be preempted
constexpr double cache_fill = 0.9;
// What a request that does not fit into the cache waits at least
constexpr duration cache_wait = std::chrono::milliseconds(400);
// Size of the steps in which queues are compared when a load is placed, so that hosts
// whose views differ a little choose the same engine
constexpr duration queue_step = std::chrono::milliseconds(40);
// Looks at an adapter that is being loaded are this far apart at most
constexpr duration longest_look = std::chrono::milliseconds(240);

duration from_ms(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

// A multiple of a time
duration scaled(duration time, double factor)
{
    return from_ms(factor * std::chrono::duration<double, std::milli>(time).count());
}

} // namespace

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
                        unresponsive_cost(load, request.objective, now);
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
    return {.act = dispatch_action::send,
            .endpoint = best->load->announced.id,
            .expected = best->expected};
}

bool dispatcher::better(call const& request, candidate const& left,
                        candidate const& right)
{
    if (left.cost() != right.cost())
        return left.cost() < right.cost();

    // Hosts with the same reports must not choose the same one of equals
    return rendezvous_weight(request.id, left.load->announced.id) >
           rendezvous_weight(request.id, right.load->announced.id);
}

dispatcher::model_choice dispatcher::evaluate_engines(call const& request,
                                                      std::vector<candidate> found,
                                                      time_point now) const
{
    auto const cache_tokens =
        cache_fill * static_cast<double>(engines_.at(request.service).cache_tokens);
    auto const needed = request.prompt_tokens + request.output_tokens;
    auto const required = required_version(request.adapter);
    model_choice choice;
    for (auto& each : found)
    {
        auto const& load = *each.load;
        auto const& models = load.announced.models;
        if (std::find(models.begin(), models.end(), request.model) == models.end())
            continue;
        auto const backlog = queue_time(load) + prefill_time(request, load, now);
        each.expected += backlog;
        each.stall_cost = stall_cost(backlog);
        if (static_cast<double>(load.tokens + load.others_tokens + needed) > cache_tokens)
            each.expected += cache_wait;
        auto const* held = find_estimate(load, request.adapter);
        if (!request.adapter.empty() &&
            (!held || (held->version != 0 && held->version < required)))
        {
            choice.absent.push_back(each);
            continue;
        }
        if (held && held->ready_at > now)
            each.expected += held->ready_at - now;
        if (!choice.best || better(request, each, *choice.best))
            choice.best = each;
    }
    return choice;
}

std::optional<proposed_load> dispatcher::propose_replica(call const& request,
                                                         candidate const& best,
                                                         candidate const* target,
                                                         time_point now)
{
    if (!target || is_loading(request, now))
        return std::nullopt;

    // It pays where the queue at the present copies is long, and earlier for an adapter
    // that many ask for
    auto const* held = find_estimate(*best.load, request.adapter);
    auto const popular = held && held->requests >= options_.popular_request_count;
    auto const there = popular ? best.cost() : best.expected;
    if (there <=
        options_.adapter_load_time + target->expected + options_.min_replica_gain)
        return std::nullopt;
    target->load->load_requests[request.adapter].reply_deadline =
        now + options_.load_reply_timeout;
    return proposed_load{target->load->announced.id, request.adapter};
}

dispatch_decision dispatcher::decide_model(call const& request,
                                           std::vector<candidate> found, time_point now)
{
    auto const choice = evaluate_engines(request, std::move(found), now);
    auto const* target = request.adapter.empty()
                             ? nullptr
                             : load_target(request.adapter, choice.absent, now);
    if (!choice.best)
        return wait_for_load(request, target, now);

    auto const& best = *choice.best;
    auto const& load = *best.load;
    dispatch_decision decision{.act = dispatch_action::send,
                               .endpoint = load.announced.id,
                               .expected = best.expected,
                               .confirm =
                                   now - load.last_status_at > options_.fresh_status};
    auto const left = request.deadline - now;
    auto const longest = scaled(request.objective, options_.max_wait_factor);
    if (best.expected > std::min(left, longest))
    {
        auto refusal =
            refuse(error_kind::deadline_unreachable,
                   best.expected - std::min(best.expected, request.objective / 2));
        refusal.endpoint = decision.endpoint;
        refusal.confirm = decision.confirm;
        return refusal;
    }
    if (!decision.confirm)
        decision.load = propose_replica(request, best, target, now);

    auto const* held = find_estimate(load, request.adapter);
    if (held && held->ready_at > now)
    {
        decision.act = dispatch_action::wait;
        decision.confirm = false;
        decision.recheck = std::min(held->ready_at, now + longest_look);
    }
    return decision;
}

dispatcher::candidate const* dispatcher::load_target(std::string const& adapter,
                                                     std::vector<candidate> const& absent,
                                                     time_point now)
{
    candidate const* best = nullptr;
    auto const steps = [](candidate const& each)
    {
        return (each.expected +
                (each.load->free_adapter_slots > 0 ? duration{0} : queue_step)) /
               queue_step;
    };
    for (auto const& each : absent)
    {
        auto const& load = *each.load;
        auto const asked = load.load_requests.find(adapter);
        if (now - load.accepting_status_at > status_max_age_ ||
            (asked != load.load_requests.end() &&
             (asked->second.reply_deadline > now || asked->second.refused_until > now)))
            continue;
        if (!best || steps(each) < steps(*best) ||
            (steps(each) == steps(*best) && each.rank > best->rank))
            best = &each;
    }
    return best;
}

dispatch_decision dispatcher::wait_for_load(call const& request, candidate const* target,
                                            time_point now)
{
    // A load that was asked for and not answered yet is waited for
    if (auto const pending = pending_load_deadline(request, now))
        return {.act = dispatch_action::wait, .recheck = *pending};
    if (!target && should_wait_for_slot(request, now))
        return {.act = dispatch_action::wait,
                .recheck = now + options_.load_refusal_pause};
    if (!target || request.adapter.empty())
        return refuse(error_kind::no_endpoint, load_retry_pause(request.service, now));

    auto const expected = options_.adapter_load_time + target->expected;
    if (expected > request.deadline - now)
        return refuse(error_kind::deadline_unreachable, expected);
    target->load->load_requests[request.adapter].reply_deadline =
        now + options_.load_reply_timeout;
    return {.act = dispatch_action::wait,
            .endpoint = target->load->announced.id,
            .expected = expected,
            .load = proposed_load{target->load->announced.id, request.adapter},
            .recheck = now + options_.load_reply_timeout};
}

duration dispatcher::load_retry_pause(service_id service, time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, load] : loads_)
    {
        if (load.announced.service != service || load.announced.draining)
            continue;
        if (now - load.accepting_status_at <= status_max_age_)
            return options_.retry_pause;
        if (load.accepts_orders_at && *load.accepts_orders_at > now)
            first = std::min(first.value_or(*load.accepts_orders_at),
                             *load.accepts_orders_at);
    }

    // Behind the first orders come the loads
    return first ? *first - now + options_.adapter_load_time
                 : options_.no_lease_retry_pause;
}

bool dispatcher::should_wait_for_slot(call const& request, time_point now) const
{
    auto const patience = scaled(request.objective, options_.slot_wait_factor);
    if (request.adapter.empty() || now - request.arrived >= patience)
        return false;
    return std::any_of(loads_.begin(), loads_.end(),
                       [&](auto const& entry)
                       {
                           auto const& load = entry.second;
                           return load.announced.service == request.service &&
                                  !load.announced.draining &&
                                  now - load.accepting_status_at <= status_max_age_;
                       });
}

std::optional<time_point> dispatcher::pending_load_deadline(call const& request,
                                                            time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, load] : loads_)
    {
        auto const asked = load.load_requests.find(request.adapter);
        if (asked == load.load_requests.end() || asked->second.reply_deadline <= now)
            continue;
        first = std::min(first.value_or(asked->second.reply_deadline),
                         asked->second.reply_deadline);
    }
    return first;
}

bool dispatcher::is_loading(call const& request, time_point now) const
{
    if (pending_load_deadline(request, now))
        return true;
    return std::any_of(loads_.begin(), loads_.end(),
                       [&](auto const& entry)
                       {
                           auto const* held =
                               find_estimate(entry.second, request.adapter);
                           return held && held->ready_at > now;
                       });
}

dispatch_decision dispatcher::refuse(error_kind reason, duration pause)
{
    return {.act = dispatch_action::refuse,
            .reason = reason,
            .retry_after = jittered(pause, random_)};
}

duration dispatcher::queue_time(endpoint_view const& load) const
{
    auto const tokens =
        static_cast<double>(load.waiting_tokens + load.others_waiting_tokens);
    auto const running =
        static_cast<std::int64_t>(load.in_flight) + load.others_in_flight;
    return from_ms(tokens / options_.prefill_tokens_per_ms) +
           options_.delay_per_running_request * running;
}

duration dispatcher::prefill_time(call const& request, endpoint_view const& load,
                                  time_point now) const
{
    // A part is reused only where all parts before it are
    std::uint32_t cached = 0;
    for (auto const& part : request.parts)
    {
        auto const found = load.parts.find(part_key(request, part));
        if (found == load.parts.end() ||
            now - found->second > options_.prompt_part_lifetime)
            break;
        cached += part.tokens;
    }
    auto const left = request.prompt_tokens - std::min(cached, request.prompt_tokens);
    return from_ms(left / options_.prefill_tokens_per_ms);
}

duration dispatcher::stall_cost(duration backlog) const
{
    return std::max(duration{0}, backlog - options_.stall_free_backlog);
}

duration dispatcher::failure_cost(endpoint_view const& load, duration objective)
{
    return scaled(objective, load.failure_rate + load.refusal_rate);
}

duration dispatcher::unresponsive_cost(endpoint_view const& load, duration objective,
                                       time_point now) const
{
    auto longest = duration{0};
    for (auto const& [id, sent_at] : load.unanswered)
        longest = std::max(longest, now - sent_at);
    auto const tolerated = objective * 2 + queue_time(load) * 2;
    return longest > tolerated ? longest : duration{0};
}

} // namespace marjorampath
