#include <marjorampath/cell/cell.hpp>
#include <marjorampath/cell/cell_state.hpp>

#include <algorithm>
#include <vector>

namespace marjorampath
{

cell::cell(cell_options options) : state_(std::make_unique<cell_state>(options)) {}

cell::~cell() = default;

void cell::on_request(grant_request const& request, time_point now, cell_actions& out)
{
    state_->request(request, now, out);
    state_->settle(now, out);
}

void cell::on_release(release_report const& report, time_point now, cell_actions& out)
{
    state_->release(report, now, out);
    state_->settle(now, out);
}

void cell::on_cancel(request_id request, time_point now, cell_actions& out)
{
    auto const found = state_->requests.find(request);
    if (found == state_->requests.end() || found->second.granted)
        return;
    state_->cancel_reservation(found->second, now, out);
    state_->dequeue(found->second);
    state_->forget(found->second);
    state_->settle(now, out);
}

void cell::on_endpoint(endpoint_report const& report, time_point now, cell_actions& out)
{
    state_->report(report, now, out);
    state_->settle(now, out);
}

void cell::on_endpoint_gone(endpoint_id endpoint, time_point now, cell_actions& out)
{
    if (auto* const found = state_->placement.find_endpoint(endpoint))
        state_->gone(*found, now, out);
    state_->settle(now, out);
}

void cell::on_adapter_retired(adapter_version_id adapter, time_point now,
                              cell_actions& out)
{
    for (auto& [id, kind] : state_->placement.kinds())
    {
        auto& retired = state_->placement.adapter(kind, adapter);
        retired.demand.clear();
        state_->placement.reindex(retired);
    }
    state_->settle(now, out);
}

void cell::on_load_finished(endpoint_id endpoint, adapter_version_id adapter,
                            error_kind error, time_point now, cell_actions& out)
{
    auto* const found = state_->placement.find_endpoint(endpoint);
    if (found == nullptr)
        return;
    auto& loaded = state_->placement.adapter(*found->kind, adapter);
    state_->load_finished(*found, loaded, error, now, out);
    state_->settle(now, out);
}

void cell::on_unload_finished(endpoint_id endpoint, adapter_version_id adapter,
                              error_kind error, time_point now, cell_actions& out)
{
    auto* const found = state_->placement.find_endpoint(endpoint);
    if (found == nullptr)
        return;
    auto& unloaded = state_->placement.adapter(*found->kind, adapter);
    state_->unload_finished(*found, unloaded, error, now, out);
    state_->settle(now, out);
}

void cell::on_entry_host_lost(host_id host, time_point now, cell_actions& out)
{
    std::vector<release_report> lost;
    std::vector<request_id> waiting;
    for (auto const& [id, request] : state_->requests)
    {
        if (request.request.entry != host)
            continue;
        if (request.granted)
            lost.push_back({id, request.endpoint->id, release_reason::cancelled});
        else
            waiting.push_back(id);
    }

    // The order of a hash table must not decide
    std::sort(waiting.begin(), waiting.end());
    std::sort(lost.begin(), lost.end(),
              [](auto const& left, auto const& right)
              { return left.request < right.request; });
    for (auto const id : waiting)
        on_cancel(id, now, out);
    for (auto const& report : lost)
        on_release(report, now, out);
}

void cell::on_grant_registered(grant_registration const& grant, time_point now,
                               cell_actions& out)
{
    state_->registered(grant, now);
    state_->settle(now, out);
}

void cell::allow_eviction(bool allowed, time_point now, cell_actions& out)
{
    state_->eviction_allowed = allowed;
    state_->settle(now, out);
}

void cell::on_orders_allowed(bool allowed, time_point now, cell_actions& out)
{
    state_->orders_allowed = allowed;
    if (!allowed)
    {
        // What needs a load cannot be served here now
        auto const stuck = state_->wanted;
        for (auto* const adapter : stuck)
            if (adapter->resident == 0 && adapter->loading == 0)
                state_->refuse_queue(
                    *adapter, {error_kind::no_endpoint, std::chrono::seconds(1)}, out);
    }
    state_->settle(now, out);
}

void cell::on_tick(time_point now, cell_actions& out)
{
    auto& pauses = state_->pauses;
    auto const passed = pauses.upper_bound(now);
    auto const resumes = passed != pauses.begin();
    pauses.erase(pauses.begin(), passed);
    if (resumes)
        state_->resume_ejected(now, out);
    state_->settle(now, out);
}

std::optional<time_point> cell::next_wakeup() const
{
    std::optional<time_point> next;
    auto const earlier = [&](time_point when)
    {
        if (!next || when < *next)
            next = when;
    };
    if (!state_->expiries.empty())
        earlier((*state_->expiries.begin())->latest_start + duration(1));
    if (!state_->pauses.empty())
        earlier(*state_->pauses.begin());

    if (state_->next_permit)
        earlier(*state_->next_permit);
    return next;
}

cell_counts cell::counts() const
{
    auto counts = state_->counts;
    counts.loads_in_transit = state_->permits.in_transit();
    return counts;
}

bool cell::is_queued(request_id request) const
{
    auto const found = state_->requests.find(request);
    return found != state_->requests.end() && !found->second.granted;
}

bool cell::is_granted(request_id request) const
{
    auto const found = state_->requests.find(request);
    return found != state_->requests.end() && found->second.granted;
}

} // namespace marjorampath
