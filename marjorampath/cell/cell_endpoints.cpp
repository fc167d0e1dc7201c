#include <marjorampath/cell/cell_state.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace marjorampath
{

namespace
{

// Time after which a caller may retry where no endpoint is usable
constexpr duration default_retry_after = std::chrono::seconds(1);

} // namespace

void cell_state::apply_report(endpoint_report const& report, time_point now,
                              cell_actions& out)
{
    auto* found = placement.find_endpoint(report.endpoint);
    if (found == nullptr)
        found = &placement.add_endpoint(report.endpoint, report.kind);
    auto& endpoint = *found;

    // Ignores late reports of an earlier boot
    if (report.boot_number < endpoint.boot_number)
        return;
    auto const restarted =
        endpoint.boot_number != 0 && report.boot_number > endpoint.boot_number;
    if (restarted)
        clear_endpoint(endpoint, now);
    endpoint.listed = true;
    endpoint.zone = report.zone;
    endpoint.slots = report.adapter_slots;
    endpoint.concurrency = std::max(1U, report.concurrency);
    endpoint.leaving = report.leaving;
    endpoint.reachable = report.reachable;
    endpoint.boot_number = report.boot_number;
    placement.reindex(endpoint, now);
    if (report.reachable)
        reconcile(endpoint, report, now);
    set_suspended(endpoint,
                  endpoint.leaving || !endpoint.reachable || endpoint.breaker.open(),
                  now);
    for (auto& copy : endpoint.copies)
        placement.reindex(endpoint, copy);
    if (!endpoint.accepts_requests() && endpoint.isolated_request != nullptr &&
        !endpoint.isolated_request->granted && (endpoint.leaving || !endpoint.reachable))
        cancel_reservation(*endpoint.isolated_request, now, out);
    placement.reindex(endpoint, now);
    grant_queued(endpoint, now, out);
    refuse_unservable(*endpoint.kind, now, out);
}

void cell_state::reconcile(endpoint_state& endpoint, endpoint_report const& report,
                           time_point now)
{
    std::erase_if(endpoint.unloads, [&](auto const& unload)
                  { return now - unload.when > options.report_lag; });

    // Adds adapters that the engine reports and that are unknown here, unless they were
    // just unloaded and the report may be older than that
    for (auto const& id : report.resident)
    {
        auto& adapter = placement.adapter(*endpoint.kind, id);
        auto const unloaded =
            std::any_of(endpoint.unloads.begin(), endpoint.unloads.end(),
                        [&](auto const& unload) { return unload.adapter == id; });
        if (!unloaded && endpoint.find(&adapter) == nullptr)
        {
            placement.add_copy(endpoint, adapter,
                               endpoint.grants_suspended ? copy_state::draining
                                                         : copy_state::resident,
                               now);
            update_awaiting_load(adapter);
        }
    }

    // Removes adapters that the engine does not report, unless the report may be older
    // than their load
    std::vector<adapter_state*> missing;
    for (auto const& copy : endpoint.copies)
    {
        auto const held =
            copy.state == copy_state::resident || copy.state == copy_state::draining;
        auto const listed = std::find(report.resident.begin(), report.resident.end(),
                                      copy.adapter->id) != report.resident.end();
        if (held && !listed && copy.running == 0 &&
            now - copy.changed > options.report_lag)
            missing.push_back(copy.adapter);
    }
    for (auto* const adapter : missing)
        drop_copy(endpoint, *adapter, now);
}

void cell_state::drop_copy(endpoint_state& endpoint, adapter_state& adapter,
                           time_point now)
{
    placement.remove_copy(endpoint, adapter, now);
    update_awaiting_load(adapter);
}

void cell_state::clear_endpoint(endpoint_state& endpoint, time_point now)
{
    // Running requests are lost. Their releases arrive later and are recognised by the
    // epoch stored at the grant.
    ++endpoint.epoch;
    endpoint.running = 0;
    endpoint.prefixes.clear();
    endpoint.unloads.clear();
    endpoint.breaker.succeed();
    endpoint.grants_suspended = false;
    if (endpoint.isolated_request != nullptr && endpoint.isolated_request->granted)
        endpoint.isolated_request = nullptr;
    while (!endpoint.copies.empty())
    {
        auto const copy = endpoint.copies.back();
        if (copy.state == copy_state::loading)
            permits.finish();
        if (copy.successor != nullptr)
        {
            --copy.successor->loading;
            permits.finish();
        }
        drop_copy(endpoint, *copy.adapter, now);
        if (copy.successor != nullptr)
            update_awaiting_load(*copy.successor);
    }
}

void cell_state::refuse_unservable(kind_state& kind, time_point now, cell_actions& out)
{
    if (kind.usable > 0 || counts.queued == 0)
        return;
    std::vector<pending_request*> stuck;
    for (auto* const request : expiries)
        if (request->adapter->kind == &kind)
            stuck.push_back(request);
    for (auto* const request : stuck)
    {
        cancel_reservation(*request, now, out);
        dequeue(*request);
        refuse(*request, {error_kind::no_endpoint, default_retry_after}, out);
    }
}

void cell_state::remove_endpoint(endpoint_state& endpoint, time_point now,
                                 cell_actions& out)
{
    endpoint.listed = false;
    if (endpoint.isolated_request != nullptr && !endpoint.isolated_request->granted)
        cancel_reservation(*endpoint.isolated_request, now, out);
    clear_endpoint(endpoint, now);

    placement.reindex(endpoint, now);
    refuse_unservable(*endpoint.kind, now, out);
    erase_if_unused(endpoint);
}

void cell_state::erase_if_unused(endpoint_state& endpoint)
{
    if (!endpoint.listed && endpoint.grants == 0 && endpoint.copies.empty())
        placement.erase_endpoint(endpoint);
}

void cell_state::register_grant(grant_registration const& grant, time_point now)
{
    auto const [found, added] = requests.try_emplace(grant.request);
    if (!added)
        return;
    auto* known = placement.find_endpoint(grant.endpoint);
    if (known == nullptr)
    {
        known = &placement.add_endpoint(grant.endpoint, grant.kind);
        known->listed = false;
    }
    auto& endpoint = *known;
    auto& kind = *endpoint.kind;
    auto& request = found->second;
    request.received = {.request = grant.request,
                        .entry = grant.entry,
                        .team = grant.team,
                        .endpoints = kind.id,
                        .adapter = grant.adapter,
                        .isolated = grant.isolated};
    request.sequence = next_sequence++;
    request.arrived = now;
    request.granted_at = now;
    request.granted = true;
    request.team = &team(kind, grant.team);
    request.adapter = &placement.adapter(kind, grant.adapter);
    ++request.adapter->references;
    request.endpoint = &endpoint;
    request.epoch = endpoint.epoch;
    ++endpoint.running;
    ++endpoint.grants;
    ++counts.granted;
    if (grant.isolated)
        endpoint.isolated_request = &request;
    if (request.adapter->needs_load())
    {
        auto* copy = endpoint.find(request.adapter);
        if (copy == nullptr)
            copy = &placement.add_copy(endpoint, *request.adapter, copy_state::resident,
                                       now);
        ++copy->running;
        placement.reindex(endpoint, *copy);
        update_awaiting_load(*request.adapter);
    }
    placement.reindex(endpoint, now);
}

void cell_state::make_decisions(time_point now, cell_actions& out)
{
    refuse_expired(now, out);
    plan_loads(now, out);
    auto const kinds = kinds_with_isolated;
    for (auto* const kind : kinds)
        schedule_isolated(*kind, now, out);

    // A wake-up is needed only where a load awaits the next permit; where permits are
    // available or the limit of concurrent loads is reached, the next event triggers
    // planning
    next_permit.reset();
    auto const waits = !awaiting_load.empty() || !kinds_with_isolated.empty();
    if (waits && orders_allowed && !permits.at_transit_limit() && !permits.available(now))
        next_permit = permits.next_available(now);
}

} // namespace marjorampath
