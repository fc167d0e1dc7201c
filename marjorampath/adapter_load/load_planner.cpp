#include <marjorampath/adapter_load/load_planner.hpp>

#include <algorithm>
#include <cmath>

namespace marjorampath
{

namespace
{

// Scores below this are forgotten
constexpr double min_score = 0.01;

std::string model_of(std::string const& adapter)
{
    return adapter.substr(0, adapter.find('/'));
}

} // namespace

load_planner::load_planner(load_planner_options options) : options_(options) {}

void load_planner::set_services(std::vector<service_definition> const& services)
{
    services_.clear();
    for (auto const& service : services)
        if (service.engine)
            services_.emplace(service.id, *service.engine);
}

engine_definition const* load_planner::definition(engine const& subject) const
{
    auto const found = services_.find(subject.announced.service);
    return found == services_.end() ? nullptr : &found->second;
}

void load_planner::on_endpoint(endpoint_event const& event, time_point now)
{
    if (event.change == endpoint_change::gone)
    {
        engines_.erase(event.endpoint.id);
        return;
    }
    auto& subject = engines_[event.endpoint.id];
    if (event.change == endpoint_change::restarted)
    {
        auto const fencing_number = subject.fencing_number;
        auto const orders_allowed_from = subject.orders_allowed_from;
        subject = {};
        subject.fencing_number = fencing_number;
        subject.orders_allowed_from = orders_allowed_from;
        subject.reports_valid_from = now;
    }
    subject.announced = event.endpoint;
}

void load_planner::on_lease(endpoint_id endpoint, std::uint64_t fencing_number,
                            bool continued, time_point now)
{
    auto const found = engines_.find(endpoint);
    if (found == engines_.end())
        return;
    auto& subject = found->second;
    if (!continued)
    {
        subject.orders_allowed_from = now + options_.takeover_delay;
        subject.reported = false;
        subject.steps.clear();
        subject.adapters.clear();
    }
    subject.fencing_number = fencing_number;
}

void load_planner::on_lease_lost(endpoint_id endpoint)
{
    auto const found = engines_.find(endpoint);
    if (found == engines_.end())
        return;
    found->second.fencing_number = 0;
    discard_pending_orders(found->second);
}

bool load_planner::has_pending_order(engine const& subject, std::string const& adapter)
{
    return std::any_of(subject.steps.begin(), subject.steps.end(),
                       [&](step const& each) { return each.subject == adapter; });
}

void load_planner::discard_pending_orders(engine& subject)
{
    subject.steps.clear();
    std::erase_if(subject.adapters,
                  [](auto const& entry) { return entry.second.planned; });
}

bool load_planner::holds(endpoint_id endpoint) const
{
    auto const found = engines_.find(endpoint);
    return found != engines_.end() && found->second.fencing_number != 0;
}

std::vector<endpoint_id> load_planner::leased() const
{
    std::vector<endpoint_id> found;
    for (auto const& [id, subject] : engines_)
        if (subject.fencing_number != 0)
            found.push_back(id);
    return found;
}

bool load_planner::accepts_orders(engine const& subject, time_point now) const
{
    return subject.fencing_number != 0 && now >= subject.orders_allowed_from &&
           subject.reported && !subject.announced.draining && definition(subject);
}

void load_planner::on_report(engine_report const& report, time_point requested_at,
                             time_point now)
{
    auto const found = engines_.find(report.endpoint);
    if (found == engines_.end() ||
        found->second.announced.started_at_ms != report.started_at_ms ||
        requested_at < found->second.reports_valid_from)
        return;
    auto& subject = found->second;
    subject.reported = true;
    subject.busy = report.busy;
    subject.models = report.models;

    // What was ordered within the lag of reports is not in them yet
    auto const settled = requested_at - options_.report_lag;
    std::erase_if(subject.adapters,
                  [&](auto const& entry)
                  {
                      auto const& ordered = entry.second.ordered_at;
                      return !has_pending_order(subject, entry.first) &&
                             (!ordered || *ordered < settled);
                  });
    std::erase_if(subject.dropped,
                  [&](auto const& entry) { return entry.second < settled; });
    for (auto const& adapter : report.adapters)
        if (!subject.dropped.contains(adapter.name))
            subject.adapters.try_emplace(
                adapter.name, held{.version = adapter.version, .ready_at = {}});
    for (auto const& adapter : report.coming)
        subject.adapters.try_emplace(
            adapter.name,
            held{.version = adapter.version, .ready_at = now + load_time(now) / 2});
}

void load_planner::on_usage(host_id host, endpoint_usage const& usage, time_point now)
{
    auto const found = engines_.find(usage.endpoint);
    if (found == engines_.end())
        return;
    auto& subject = found->second;
    for (auto const& adapter : usage.adapters)
    {
        if (adapter.sent == 0)
            continue;
        auto const decayed = score(subject, adapter.name, now);
        subject.scores[adapter.name] = {decayed + adapter.sent, now};
    }
    subject.usages[host] = {usage, now};
    std::erase_if(subject.scores, [&](auto const& entry)
                  { return score(subject, entry.first, now) < min_score; });
}

double load_planner::score(engine const& subject, std::string const& adapter,
                           time_point now) const
{
    auto const found = subject.scores.find(adapter);
    if (found == subject.scores.end())
        return 0;
    auto const half_lives = std::chrono::duration<double>(now - found->second.changed) /
                            std::chrono::duration<double>(options_.use_half_life);
    return found->second.score * std::exp2(-half_lives);
}

void load_planner::on_version(std::string const& adapter, std::uint64_t version)
{
    auto& known = versions_[adapter];
    if (version <= known)
        return;
    known = version;
    for (auto& [id, subject] : engines_)
        if (subject.fencing_number != 0)
            plan_versions(subject);
}

void load_planner::plan_versions(engine& subject)
{
    for (auto const& [name, adapter] : subject.adapters)
    {
        auto const announced = versions_.find(name);
        if (announced == versions_.end() || has_pending_order(subject, name) ||
            adapter.version == 0 || adapter.version >= announced->second)
            continue;
        subject.steps.push_back({.kind = order_kind::load_adapter, .subject = name});
    }
}

void load_planner::plan_model(engine& subject)
{
    auto const* service = definition(subject);
    if (!subject.models.empty() || subject.busy || subject.ordering ||
        !subject.steps.empty() || service->models.empty())
        return;

    // The model that the fewest engines hold goes first
    auto const copies = [&](model_definition const& model)
    {
        return std::count_if(engines_.begin(), engines_.end(),
                             [&](auto const& entry)
                             {
                                 auto const& held = entry.second.announced.models;
                                 return std::find(held.begin(), held.end(), model.name) !=
                                        held.end();
                             });
    };
    auto const fewest = std::min_element(service->models.begin(), service->models.end(),
                                         [&](auto const& left, auto const& right)
                                         { return copies(left) < copies(right); });
    subject.steps.push_back({.kind = order_kind::load_model, .subject = fewest->name});
}

bool load_planner::in_use(engine const& subject, std::string const& adapter,
                          time_point now) const
{
    return std::any_of(subject.usages.begin(), subject.usages.end(),
                       [&](auto const& entry)
                       {
                           if (now - entry.second.at > options_.usage_expiry)
                               return false;
                           auto const& used = entry.second.usage.adapters;
                           return std::any_of(used.begin(), used.end(),
                                              [&](auto const& each) {
                                                  return each.name == adapter &&
                                                         each.in_flight > 0;
                                              });
                       });
}

std::optional<std::string> load_planner::victim(engine const& subject,
                                                time_point now) const
{
    std::optional<std::string> least;
    double least_use = 0;
    for (auto const& [name, adapter] : subject.adapters)
    {
        if (adapter.leaving || adapter.ready_at + options_.eviction_grace > now ||
            in_use(subject, name, now))
            continue;
        auto const use = score(subject, name, now);
        if (least && use >= least_use)
            continue;
        least = name;
        least_use = use;
    }
    return least;
}

std::uint32_t load_planner::loads_in_transit_to(engine const& subject, time_point now)
{
    auto const coming =
        std::count_if(subject.adapters.begin(), subject.adapters.end(),
                      [&](auto const& entry) { return entry.second.ready_at > now; });
    return static_cast<std::uint32_t>(coming);
}

std::uint32_t load_planner::transit(time_point now) const
{
    std::uint32_t sum = 0;
    for (auto const& [id, subject] : engines_)
        if (subject.fencing_number != 0)
            sum += loads_in_transit_to(subject, now);
    return sum;
}

duration load_planner::load_time(time_point now) const
{
    auto const coming = transit(now) + remote_loads_ + 1;
    auto const full =
        std::max(options_.min_full_speed_loads,
                 static_cast<std::uint32_t>(options_.full_speed_loads_per_engine *
                                            static_cast<double>(engines_.size())));
    return coming <= full ? options_.adapter_load_time
                          : options_.adapter_load_time * coming / full;
}

std::uint32_t load_planner::free_adapter_slots(engine const& subject) const
{
    auto const* service = definition(subject);
    auto const taken = static_cast<std::uint32_t>(subject.adapters.size());
    return service && taken < service->adapter_slots ? service->adapter_slots - taken : 0;
}

load_reply load_planner::on_load_request(load_request const& request, time_point now)
{
    load_reply reply{.endpoint = request.endpoint, .adapter = request.adapter};
    auto const found = engines_.find(request.endpoint);
    reply.refusal = load_refusal::orders_not_allowed;
    if (found == engines_.end() || !accepts_orders(found->second, now))
        return reply;
    auto& subject = found->second;
    reply.refusal = load_refusal::none;

    auto const known = subject.adapters.find(request.adapter);
    if (known != subject.adapters.end())
    {
        reply.accepted = !known->second.leaving;
        if (known->second.leaving)
            reply.refusal = load_refusal::no_free_slot;
        if (known->second.ready_at > now)
            reply.ready_in = known->second.ready_at - now;
        return reply;
    }
    auto const model = model_of(request.adapter);
    if (std::find(subject.models.begin(), subject.models.end(), model) ==
        subject.models.end())
    {
        reply.refusal = load_refusal::no_model;
        return reply;
    }
    if (loads_in_transit_to(subject, now) >= options_.max_loads_per_engine ||
        subject.steps.size() >= options_.max_pending_orders)
    {
        reply.refusal = load_refusal::in_transit;
        return reply;
    }

    if (free_adapter_slots(subject) == 0)
    {
        auto const leaving = victim(subject, now);
        if (!leaving)
        {
            reply.refusal = load_refusal::no_free_slot;
            return reply;
        }
        subject.adapters.at(*leaving).leaving = true;
        subject.steps.push_back(
            {.kind = order_kind::unload_adapter, .subject = *leaving});
    }
    subject.steps.push_back(
        {.kind = order_kind::load_adapter, .subject = request.adapter});

    // The place is taken from now on
    auto const needed = load_time(now);
    subject.adapters[request.adapter] = {
        .version = 0, .ready_at = now + needed, .ordered_at = now, .planned = true};
    reply.accepted = true;
    reply.ready_in = needed;
    return reply;
}

std::vector<planned_order> load_planner::next_orders(time_point now)
{
    std::vector<planned_order> orders;
    for (auto& [id, subject] : engines_)
    {
        if (!accepts_orders(subject, now))
            continue;
        plan_model(subject);
        if (subject.ordering || subject.steps.empty())
            continue;
        subject.ordering = true;
        orders.push_back(make_order(id, subject, subject.steps.front()));
    }
    return orders;
}

planned_order load_planner::make_order(endpoint_id id, engine const& subject,
                                       step const& next) const
{
    planned_order order{.endpoint = id,
                        .started_at_ms = subject.announced.started_at_ms,
                        .kind = next.kind,
                        .model = model_of(next.subject),
                        .adapter = {},
                        .version = 0,
                        .fencing_number = subject.fencing_number};
    if (next.kind == order_kind::load_model)
        return order;
    order.adapter = next.subject;
    auto const announced = versions_.find(next.subject);
    if (next.kind == order_kind::load_adapter && announced != versions_.end())
        order.version = announced->second;
    return order;
}

void load_planner::on_order_done(planned_order const& order, order_result result,
                                 time_point now)
{
    auto const found = engines_.find(order.endpoint);
    if (found == engines_.end() ||
        found->second.announced.started_at_ms != order.started_at_ms)
        return;
    auto& subject = found->second;
    subject.ordering = false;
    auto const& name = order.kind == order_kind::load_model ? order.model : order.adapter;
    if (!subject.steps.empty() && subject.steps.front().subject == name &&
        subject.steps.front().kind == order.kind)
        subject.steps.pop_front();

    if (result == order_result::accepted || result == order_result::holds)
        return apply_order(subject, order, result == order_result::holds, now);

    // Whatever was planned rests on a view that proved wrong; a later report renews it
    auto const known = subject.adapters.find(name);
    if (result == order_result::unknown && known != subject.adapters.end())
    {
        known->second.planned = false;
        known->second.ordered_at = now;
    }
    discard_pending_orders(subject);
    subject.reported = false;
    subject.reports_valid_from = now;
    if (result == order_result::unknown)
        subject.reports_valid_from = now + options_.report_lag;
}

void load_planner::apply_order(engine& subject, planned_order const& order, bool holds,
                               time_point now)
{
    switch (order.kind)
    {
    case order_kind::load_model:
        subject.busy = !holds;
        subject.reports_valid_from = now + options_.report_lag;
        break;
    case order_kind::load_adapter:
        subject.adapters[order.adapter] = {.version = order.version,
                                           .ready_at = holds ? now : now + load_time(now),
                                           .ordered_at = now};
        subject.dropped.erase(order.adapter);
        break;
    case order_kind::unload_adapter:
        // An adapter that still runs leaves later; its place is not free before
        if (holds)
        {
            subject.adapters.erase(order.adapter);
            subject.dropped[order.adapter] = now;
            break;
        }
        discard_pending_orders(subject);
        subject.adapters[order.adapter] = {
            .ready_at = now, .ordered_at = now, .leaving = true};
        break;
    }
}

engine_status load_planner::status(endpoint_id id, engine const& subject,
                                   time_point now) const
{
    engine_status status{
        .endpoint = id,
        .started_at_ms = subject.announced.started_at_ms,
        .accepts_orders = accepts_orders(subject, now),
        .accepts_orders_in = std::max(duration{0}, subject.orders_allowed_from - now),
        .free_adapter_slots = free_adapter_slots(subject),
        .models = subject.reported ? subject.models : subject.announced.models};
    for (auto const& [host, reported] : subject.usages)
    {
        if (now - reported.at > options_.usage_expiry)
            continue;
        status.in_flight += reported.usage.in_flight;
        status.waiting_tokens += reported.usage.waiting_tokens;
        status.tokens += reported.usage.tokens;
    }
    for (auto const& [name, adapter] : subject.adapters)
        if (!adapter.leaving)
            status.adapters.push_back(
                {.name = name,
                 .version = adapter.version,
                 .ready_in = std::max(duration{0}, adapter.ready_at - now),
                 .requests = score(subject, name, now)});
    return status;
}

std::vector<engine_status> load_planner::statuses(time_point now) const
{
    std::vector<engine_status> found;
    for (auto const& [id, subject] : engines_)
        if (subject.fencing_number != 0)
            found.push_back(status(id, subject, now));
    return found;
}

std::optional<engine_status> load_planner::status_of(endpoint_id endpoint,
                                                     time_point now) const
{
    auto const found = engines_.find(endpoint);
    if (found == engines_.end() || found->second.fencing_number == 0)
        return std::nullopt;
    return status(endpoint, found->second, now);
}

} // namespace marjorampath
