#include <marjorampath/adapter_load/load_planner.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

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

engine_definition const* load_planner::definition(engine const& target) const
{
    auto const found = services_.find(target.announced.service);
    return found == services_.end() ? nullptr : &found->second;
}

void load_planner::on_endpoint(endpoint_event const& event, time_point now)
{
    if (event.change == endpoint_change::gone)
    {
        engines_.erase(event.endpoint.id);
        return;
    }
    auto& target = engines_[event.endpoint.id];
    if (event.change == endpoint_change::restarted)
    {
        auto const fencing_number = target.fencing_number;
        auto const orders_allowed_from = target.orders_allowed_from;
        target = {};
        target.fencing_number = fencing_number;
        target.orders_allowed_from = orders_allowed_from;
        target.reports_valid_from = now;
    }
    target.announced = event.endpoint;
}

void load_planner::on_lease(endpoint_id endpoint, std::uint64_t fencing_number,
                            bool continued, time_point now)
{
    auto const found = engines_.find(endpoint);
    if (found == engines_.end())
        return;
    auto& target = found->second;
    if (!continued)
    {
        target.orders_allowed_from = now + options_.takeover_delay;
        target.reported = false;
        target.pending_orders.clear();
        target.adapters.clear();
        target.order_count.reset();
    }
    target.fencing_number = fencing_number;
}

void load_planner::on_lease_lost(endpoint_id endpoint)
{
    auto const found = engines_.find(endpoint);
    if (found == engines_.end())
        return;
    found->second.fencing_number = 0;
    discard_pending_orders(found->second);
}

bool load_planner::has_pending_order(engine const& target, std::string const& adapter)
{
    return std::any_of(target.pending_orders.begin(), target.pending_orders.end(),
                       [&](pending_order const& each)
                       { return each.model_or_adapter == adapter; });
}

void load_planner::discard_pending_orders(engine& target)
{
    // The engine may execute an order that was sent, whatever happens to the lease
    auto const sent = target.order_in_progress && !target.pending_orders.empty() ? 1 : 0;
    target.pending_orders.erase(target.pending_orders.begin() + sent,
                                target.pending_orders.end());
    std::erase_if(target.adapters,
                  [&](auto const& entry) {
                      return entry.second.order_pending &&
                             !has_pending_order(target, entry.first);
                  });
}

bool load_planner::holds(endpoint_id endpoint) const
{
    auto const found = engines_.find(endpoint);
    return found != engines_.end() && found->second.fencing_number != 0;
}

std::vector<endpoint_id> load_planner::leased() const
{
    std::vector<endpoint_id> found;
    for (auto const& [id, target] : engines_)
        if (target.fencing_number != 0)
            found.push_back(id);
    return found;
}

bool load_planner::accepts_orders(engine const& target, time_point now) const
{
    return target.fencing_number != 0 && now >= target.orders_allowed_from &&
           target.reported && !target.announced.draining && definition(target);
}

void load_planner::on_version(std::string const& adapter, std::uint64_t version)
{
    auto& known = versions_[adapter];
    if (version <= known)
        return;
    known = version;
    for (auto& [id, target] : engines_)
        if (target.fencing_number != 0)
            plan_versions(target);
}

void load_planner::plan_versions(engine& target)
{
    for (auto const& [name, adapter] : target.adapters)
    {
        auto const announced = versions_.find(name);
        if (announced == versions_.end() || has_pending_order(target, name) ||
            adapter.version == 0 || adapter.version >= announced->second)
            continue;
        target.pending_orders.push_back(
            {.kind = order_kind::load_adapter, .model_or_adapter = name});
    }
}

void load_planner::plan_model(engine& target)
{
    auto const* service = definition(target);
    if (!target.models.empty() || target.is_loading_model || target.order_in_progress ||
        !target.pending_orders.empty() || service->models.empty())
        return;

    // Choose the model that the fewest engines have loaded
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
    target.pending_orders.push_back(
        {.kind = order_kind::load_model, .model_or_adapter = fewest->name});
}

std::optional<std::string> load_planner::eviction_candidate(engine const& target,
                                                            time_point now) const
{
    std::optional<std::string> least;
    double least_use = 0;
    for (auto const& [name, adapter] : target.adapters)
    {
        // An engine does not cancel a load: its slot stays occupied until the load ends
        if (adapter.evicting || adapter.reported != reported_state::loaded ||
            adapter.ready_at + options_.eviction_grace > now || in_use(target, name, now))
            continue;
        auto const use = score(target, name, now);
        if (least && use >= least_use)
            continue;
        least = name;
        least_use = use;
    }
    return least;
}

std::uint32_t load_planner::loads_in_transit_to(engine const& target, time_point now)
{
    auto const loads =
        std::count_if(target.adapters.begin(), target.adapters.end(),
                      [&](auto const& entry) { return entry.second.ready_at > now; });
    return static_cast<std::uint32_t>(loads);
}

std::uint32_t load_planner::loads_in_transit(time_point now) const
{
    std::uint32_t sum = 0;
    for (auto const& [id, target] : engines_)
        if (target.fencing_number != 0)
            sum += loads_in_transit_to(target, now);
    return sum;
}

duration load_planner::load_time(time_point now) const
{
    auto const loads = loads_in_transit(now) + remote_loads_ + 1;
    auto const full =
        std::max(options_.min_full_speed_loads,
                 static_cast<std::uint32_t>(options_.full_speed_loads_per_engine *
                                            static_cast<double>(engines_.size())));
    return loads <= full ? options_.adapter_load_time
                         : options_.adapter_load_time * loads / full;
}

std::uint32_t load_planner::free_adapter_slots(engine const& target) const
{
    auto const* service = definition(target);
    auto const taken = static_cast<std::uint32_t>(target.adapters.size());
    return service && taken < service->adapter_slots ? service->adapter_slots - taken : 0;
}

load_reply load_planner::on_load_request(load_request const& request, time_point now)
{
    load_reply reply{.endpoint = request.endpoint, .adapter = request.adapter};
    auto const found = engines_.find(request.endpoint);
    reply.refusal = load_refusal::orders_not_allowed;
    if (found == engines_.end() || !accepts_orders(found->second, now))
        return reply;
    auto& target = found->second;
    reply.refusal = load_refusal::none;

    auto const known = target.adapters.find(request.adapter);
    if (known != target.adapters.end())
    {
        reply.accepted = !known->second.evicting;
        if (known->second.evicting)
            reply.refusal = load_refusal::no_free_slot;
        if (known->second.ready_at > now)
            reply.ready_in = known->second.ready_at - now;
        return reply;
    }
    auto const model = model_of(request.adapter);
    if (std::find(target.models.begin(), target.models.end(), model) ==
        target.models.end())
    {
        reply.refusal = load_refusal::no_model;
        return reply;
    }
    if (loads_in_transit_to(target, now) >= options_.max_loads_per_engine ||
        target.pending_orders.size() >= options_.max_pending_orders)
    {
        reply.refusal = load_refusal::too_many_loads;
        return reply;
    }

    if (free_adapter_slots(target) == 0)
    {
        auto const evicted = eviction_candidate(target, now);
        if (!evicted)
        {
            reply.refusal = load_refusal::no_free_slot;
            return reply;
        }
        target.adapters.at(*evicted).evicting = true;
        target.pending_orders.push_back(
            {.kind = order_kind::unload_adapter, .model_or_adapter = *evicted});
    }
    target.pending_orders.push_back(
        {.kind = order_kind::load_adapter, .model_or_adapter = request.adapter});

    // The adapter occupies its slot from now on
    auto const needed = load_time(now);
    target.adapters[request.adapter] = {
        .version = 0, .ready_at = now + needed, .ordered_at = now, .order_pending = true};
    reply.accepted = true;
    reply.ready_in = needed;
    return reply;
}

std::vector<planned_order> load_planner::next_orders(time_point now)
{
    std::vector<planned_order> orders;
    for (auto& [id, target] : engines_)
    {
        if (!accepts_orders(target, now))
            continue;
        plan_model(target);
        if (target.order_in_progress)
            continue;
        discard_oversized_load(target);
        if (target.pending_orders.empty())
            continue;
        target.order_in_progress = true;
        orders.push_back(make_order(id, target, target.pending_orders.front(), now));
    }
    return orders;
}

void load_planner::discard_oversized_load(engine& target) const
{
    auto const* service = definition(target);
    if (service && !target.pending_orders.empty() &&
        target.pending_orders.front().kind == order_kind::load_adapter &&
        target.adapters.size() > service->adapter_slots)
        discard_pending_orders(target);
}

planned_order load_planner::make_order(endpoint_id id, engine const& target,
                                       pending_order const& next, time_point now) const
{
    planned_order order{.endpoint = id,
                        .started_at_ms = target.announced.started_at_ms,
                        .kind = next.kind,
                        .model = model_of(next.model_or_adapter),
                        .adapter = {},
                        .version = 0,
                        .fencing_number = target.fencing_number,
                        .order_count = target.order_count,
                        .basis = make_basis(target, next.model_or_adapter, now)};
    if (next.kind == order_kind::load_model)
        return order;
    order.adapter = next.model_or_adapter;
    auto const announced = versions_.find(next.model_or_adapter);
    if (next.kind == order_kind::load_adapter && announced != versions_.end())
        order.version = announced->second;
    return order;
}

order_basis load_planner::make_basis(engine const& target, std::string const& adapter,
                                     time_point now) const
{
    auto const* service = definition(target);
    auto const known = target.adapters.find(adapter);
    order_basis basis{.occupied_slots =
                          static_cast<std::uint32_t>(target.adapters.size()),
                      .adapter_slots = service ? service->adapter_slots : 0,
                      .loads_in_transit = loads_in_transit_to(target, now)};
    if (known != target.adapters.end())
        basis.reported = known->second.reported;
    if (target.last_report_at)
        basis.report_age = now - *target.last_report_at;
    return basis;
}

void load_planner::on_order_done(planned_order const& order, order_result result,
                                 time_point now)
{
    auto const found = engines_.find(order.endpoint);
    if (found == engines_.end() ||
        found->second.announced.started_at_ms != order.started_at_ms)
        return;
    auto& target = found->second;
    target.order_in_progress = false;
    auto const& name = order.kind == order_kind::load_model ? order.model : order.adapter;
    if (!target.pending_orders.empty() &&
        target.pending_orders.front().model_or_adapter == name &&
        target.pending_orders.front().kind == order.kind)
        target.pending_orders.pop_front();

    if (result == order_result::accepted || result == order_result::already_done)
    {
        auto const already_done = result == order_result::already_done;
        count_order(target, order, already_done, now);
        return apply_order(target, order, already_done, now);
    }

    // The engine's state may differ from the assumed one: discard the pending orders and
    // wait for the next report. Loads of new versions are not planned again before the
    // next announced version
    auto const known = target.adapters.find(name);
    if (result == order_result::unknown && known != target.adapters.end())
    {
        known->second.order_pending = false;
        known->second.ordered_at = now;
    }
    discard_pending_orders(target);
    target.reported = false;
    target.order_count.reset();
    target.reports_valid_from = now;
    if (result == order_result::unknown)
        target.reports_valid_from = now + options_.report_lag;
}

void load_planner::count_order(engine& target, planned_order const& order,
                               bool already_done, time_point now)
{
    if (!order.order_count)
        return;
    // An adapter that no request uses is unloaded at once; a load that was already done
    // is not counted
    auto const counts = !already_done || order.kind == order_kind::unload_adapter;
    target.order_count =
        std::max(target.order_count.value_or(0), *order.order_count + (counts ? 1 : 0));
    target.last_accepted_at = now;
}

void load_planner::apply_order(engine& target, planned_order const& order,
                               bool already_done, time_point now)
{
    switch (order.kind)
    {
    case order_kind::load_model:
        target.is_loading_model = !already_done;
        target.reports_valid_from = now + options_.report_lag;
        break;
    case order_kind::load_adapter:
        target.adapters[order.adapter] = {.version = order.version,
                                          .ready_at =
                                              already_done ? now : now + load_time(now),
                                          .ordered_at = now};
        break;
    case order_kind::unload_adapter:
        if (already_done)
        {
            target.adapters.erase(order.adapter);
            target.unloaded[order.adapter] = now;
            break;
        }

        // The engine unloads an adapter in use later, and its slot stays occupied until
        // then: discard the pending load that needs the slot
        discard_pending_orders(target);
        target.adapters[order.adapter] = {
            .ready_at = now, .ordered_at = now, .evicting = true};
        break;
    }
}

} // namespace marjorampath
