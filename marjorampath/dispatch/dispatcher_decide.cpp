#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/limits/jitter.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

// Fraction of an engine's cache above which new requests are expected to be preempted
constexpr double max_cache_fill = 0.9;
// Minimum wait of a request that does not fit into the cache
constexpr duration min_cache_wait = std::chrono::milliseconds(400);
// Resolution at which queues are compared to place a load, so that hosts with slightly
// different views choose the same engine
constexpr duration queue_step = std::chrono::milliseconds(40);
// Longest time between two decisions on a request that waits for a load
constexpr duration max_recheck_interval = std::chrono::milliseconds(240);

duration from_ms(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

// Multiplies a duration by a factor
duration scaled(duration time, double factor)
{
    return from_ms(factor * std::chrono::duration<double, std::milli>(time).count());
}

// Whether an endpoint may continue the stream of a request
bool fits(call const& request, endpoint_announcement const& announced)
{
    return !request.software_version ||
           *request.software_version == announced.software_version;
}

} // namespace

std::vector<dispatcher::candidate>
dispatcher::find_candidates(call const& request, std::span<endpoint_id const> tried,
                            time_point now)
{
    std::vector<candidate> found;
    auto const subject = request.adapter.empty() ? adapter_id(request.id.number())
                                                 : adapter_id::of(request.adapter);
    for (auto& [id, view] : endpoints_)
    {
        auto const& announced = view.announced;
        if (announced.service != request.service || announced.draining ||
            !view.breaker.allows(now) || held_until(id, view) > now ||
            !fits(request, announced) ||
            std::find(tried.begin(), tried.end(), id) != tried.end())
            continue;
        auto expected = failure_cost(view, request.objective) +
                        unresponsive_cost(view, request.objective, now);
        if (announced.zone != zone_)
            expected += options_.other_zone_cost;
        found.push_back({.view = &view,
                         .expected = expected,
                         .rank = rendezvous_weight(subject, id)});
    }
    return found;
}

dispatch_decision dispatcher::decide(call const& request,
                                     std::span<endpoint_id const> tried, time_point now)
{
    auto found = find_candidates(request, tried, now);
    if (found.empty())
        return refuse(error_kind::no_endpoint,
                      no_endpoint_retry_pause(request.service, now));
    if (model_services_.contains(request.service))
        return decide_model(request, std::move(found), now);
    return decide_plain(request, std::move(found), now);
}

duration dispatcher::no_endpoint_retry_pause(service_id service, time_point now) const
{
    std::optional<time_point> first;
    auto others = false;
    for (auto const& [id, view] : endpoints_)
    {
        if (view.announced.service != service || view.announced.draining)
            continue;
        auto const until = held_until(id, view);
        others = others || until <= now;
        if (until > now)
            first = std::min(first.value_or(until), until);
    }
    if (!first)
        return options_.retry_pause;
    // Another endpoint may serve the request sooner than the first held one
    return others ? std::min(*first - now, options_.retry_pause) : *first - now;
}

dispatch_decision dispatcher::decide_plain(call const& request,
                                           std::vector<candidate> found, time_point now)
{
    // Assume that a request takes a quarter of its objective; the expected wait grows
    // with the running requests per slot
    auto const expected_wait = [&](endpoint_view const& view)
    {
        auto const running = view.in_flight + view.others_in_flight;
        auto const slots = std::max<std::uint32_t>(view.announced.slots, 1);
        return request.objective / 4 * running / slots;
    };
    for (auto& each : found)
        each.expected += expected_wait(*each.view);
    auto const best = std::min_element(found.begin(), found.end(),
                                       [](auto const& left, auto const& right)
                                       {
                                           return left.expected != right.expected
                                                      ? left.expected < right.expected
                                                      : left.rank < right.rank;
                                       });

    // What failures and refusals of the past add ranks endpoints; it is no time to wait
    auto const wait = expected_wait(*best->view);
    if (wait > request.deadline - now)
        return refuse(error_kind::deadline_unreachable, wait);
    return {.action = dispatch_action::send,
            .endpoint = best->view->announced.id,
            .expected = best->expected};
}

bool dispatcher::is_better(call const& request, candidate const& left,
                           candidate const& right)
{
    if (left.cost() != right.cost())
        return left.cost() < right.cost();

    // Hosts with the same reports must not all choose the same one of equal engines
    return rendezvous_weight(request.id, left.view->announced.id) >
           rendezvous_weight(request.id, right.view->announced.id);
}

dispatcher::model_choice dispatcher::evaluate_engines(call const& request,
                                                      std::vector<candidate> found,
                                                      time_point now) const
{
    auto const cache_tokens =
        max_cache_fill *
        static_cast<double>(model_services_.at(request.service).cache_tokens);
    auto const needed = request.prompt_tokens + request.output_tokens;
    auto const required = required_version(request.adapter);
    model_choice choice;
    for (auto& each : found)
    {
        auto const& view = *each.view;
        auto const& models = view.announced.models;
        if (std::find(models.begin(), models.end(), request.model) == models.end())
            continue;
        auto const backlog = queue_time(view) + prefill_time(request, view, now);
        each.expected += backlog;
        each.stall_cost = stall_cost(backlog);
        if (static_cast<double>(view.tokens + view.others_tokens + needed) > cache_tokens)
            each.expected += min_cache_wait;
        auto const* held = find_estimate(view, request.adapter);
        if (!request.adapter.empty() &&
            (!held || (held->version != 0 && held->version < required)))
        {
            each.expected += permit_interval(view.announced.id);
            choice.absent.push_back(each);
            continue;
        }
        if (held && held->ready_at > now)
            each.expected += held->ready_at - now;
        if (!choice.best || is_better(request, each, *choice.best))
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

    // Another replica must save at least `min_replica_gain`. For a popular adapter, the
    // stalls of running streams count as well
    auto const* held = find_estimate(*best.view, request.adapter);
    auto const popular = held && held->requests >= options_.popular_request_count;
    auto const present_cost = popular ? best.cost() : best.expected;
    if (present_cost <=
        options_.adapter_load_time + target->expected + options_.min_replica_gain)
        return std::nullopt;
    target->view->load_requests[request.adapter].reply_deadline =
        now + options_.load_reply_timeout;
    return proposed_load{target->view->announced.id, request.adapter};
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
    auto const& view = *best.view;
    dispatch_decision decision{.action = dispatch_action::send,
                               .endpoint = view.announced.id,
                               .expected = best.expected,
                               .confirm = now - view.last_status_at >
                                          options_.max_unconfirmed_status_age};
    auto const left = request.deadline - now;
    auto const max_wait = scaled(request.objective, options_.max_wait_factor);
    if (best.expected > std::min(left, max_wait))
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

    auto const* held = find_estimate(view, request.adapter);
    if (held && held->ready_at > now)
    {
        decision.action = dispatch_action::wait;
        decision.confirm = false;
        decision.recheck = std::min(held->ready_at, now + max_recheck_interval);
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
                (each.view->free_adapter_slots > 0 ? duration{0} : queue_step)) /
               queue_step;
    };
    for (auto const& each : absent)
    {
        auto const& view = *each.view;
        auto const request_state = view.load_requests.find(adapter);
        if (now - view.accepting_status_at > status_max_age_ ||
            (request_state != view.load_requests.end() &&
             (request_state->second.reply_deadline > now ||
              request_state->second.refused_until > now)))
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
    // Waits for the reply to a pending load request
    if (auto const pending = pending_load_deadline(request, now))
        return {.action = dispatch_action::wait, .recheck = *pending};
    if (!target && should_wait_for_slot(request, now))
        return {.action = dispatch_action::wait,
                .recheck = now + options_.load_refusal_pause};
    if (!target || request.adapter.empty())
        return refuse(error_kind::no_endpoint, load_retry_pause(request.service, now));

    auto const expected = options_.adapter_load_time + target->expected;
    if (expected > request.deadline - now)
        return refuse(error_kind::deadline_unreachable, expected);
    target->view->load_requests[request.adapter].reply_deadline =
        now + options_.load_reply_timeout;
    return {.action = dispatch_action::wait,
            .endpoint = target->view->announced.id,
            .expected = expected,
            .load = proposed_load{target->view->announced.id, request.adapter},
            .recheck = now + options_.load_reply_timeout};
}

duration dispatcher::load_retry_pause(service_id service, time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, view] : endpoints_)
    {
        if (view.announced.service != service || view.announced.draining)
            continue;
        if (now - view.accepting_status_at <= status_max_age_)
            return options_.retry_pause;
        if (view.accepts_orders_at && *view.accepts_orders_at > now)
            first = std::min(first.value_or(*view.accepts_orders_at),
                             *view.accepts_orders_at);
    }

    // Loads can start only when a lease holder may give orders
    return first ? *first - now + options_.adapter_load_time
                 : options_.no_lease_retry_pause;
}

bool dispatcher::should_wait_for_slot(call const& request, time_point now) const
{
    auto const max_slot_wait = scaled(request.objective, options_.slot_wait_factor);
    if (request.adapter.empty() || now - request.arrived >= max_slot_wait)
        return false;
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](auto const& entry)
                       {
                           auto const& view = entry.second;
                           return view.announced.service == request.service &&
                                  !view.announced.draining &&
                                  now - view.accepting_status_at <= status_max_age_;
                       });
}

std::optional<time_point> dispatcher::pending_load_deadline(call const& request,
                                                            time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [id, view] : endpoints_)
    {
        auto const request_state = view.load_requests.find(request.adapter);
        if (request_state == view.load_requests.end() ||
            request_state->second.reply_deadline <= now)
            continue;
        first = std::min(first.value_or(request_state->second.reply_deadline),
                         request_state->second.reply_deadline);
    }
    return first;
}

bool dispatcher::is_loading(call const& request, time_point now) const
{
    if (pending_load_deadline(request, now))
        return true;
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](auto const& entry)
                       {
                           auto const* held =
                               find_estimate(entry.second, request.adapter);
                           return held && held->ready_at > now;
                       });
}

dispatch_decision dispatcher::refuse(error_kind reason, duration pause)
{
    return {.action = dispatch_action::refuse,
            .reason = reason,
            .retry_after = jittered(pause, random_)};
}

duration dispatcher::queue_time(endpoint_view const& view) const
{
    auto const tokens =
        static_cast<double>(view.waiting_tokens + view.others_waiting_tokens);
    auto const running =
        static_cast<std::int64_t>(view.in_flight) + view.others_in_flight;
    return from_ms(tokens / options_.prefill_tokens_per_ms) +
           options_.delay_per_running_request * running;
}

duration dispatcher::prefill_time(call const& request, endpoint_view const& view,
                                  time_point now) const
{
    // A cached part is reused only if all parts before it are reused
    std::uint32_t cached = 0;
    for (auto const& part : request.parts)
    {
        auto const found = view.parts.find(part_key(request, part));
        if (found == view.parts.end() ||
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

duration dispatcher::failure_cost(endpoint_view const& view, duration objective)
{
    return scaled(objective, view.failure_rate + view.refusal_rate);
}

duration dispatcher::unresponsive_cost(endpoint_view const& view, duration objective,
                                       time_point now) const
{
    auto longest = duration{0};
    for (auto const& [id, sent_at] : view.unanswered)
        longest = std::max(longest, now - sent_at);
    auto const tolerated = objective * 2 + queue_time(view) * 2;
    return longest > tolerated ? longest : duration{0};
}

} // namespace marjorampath
