#include <marjorampath/reachability/reach_monitor.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

reach_monitor::reach_monitor(reach_options options) : options_(options) {}

void reach_monitor::on_sent(service_id service, time_point now)
{
    auto& state = services_[service];
    if (!state.waiting_since)
        state.waiting_since = now;
}

void reach_monitor::on_answer(service_id service)
{
    auto const found = services_.find(service);
    if (found != services_.end())
        found->second.waiting_since.reset();
}

void reach_monitor::on_failed(service_id service, time_point now)
{
    auto& failures = services_[service].failures;
    failures.push_back(now);
    if (failures.size() > options_.min_failures)
        failures.pop_front();
}

std::size_t reach_monitor::recent_failures(service_state const& state,
                                           time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(state.failures.begin(), state.failures.end(),
                      [&](auto at) { return now - at <= options_.failure_window; }));
}

std::vector<service_id> reach_monitor::due_probes(time_point now)
{
    std::vector<service_id> due;
    for (auto& [service, state] : services_)
    {
        auto const silent =
            state.waiting_since && now - *state.waiting_since >= options_.max_silence;
        if (state.probing || now < state.next_probe_at ||
            (!state.cut && !silent &&
             recent_failures(state, now) < options_.min_failures))
            continue;
        state.probing = true;
        due.push_back(service);
    }
    return due;
}

bool reach_monitor::on_probed(service_id service, bool reached, time_point now)
{
    auto& state = services_[service];
    state.probing = false;
    state.next_probe_at =
        now + (reached ? options_.probe_interval : options_.cut_probe_interval);
    if (reached)
    {
        state.failures.clear();
        state.waiting_since.reset();
    }
    return std::exchange(state.cut, !reached) == reached;
}

bool reach_monitor::is_cut(service_id service) const
{
    auto const found = services_.find(service);
    return found != services_.end() && found->second.cut;
}

bool reach_monitor::is_doubtful(service_id service, time_point now) const
{
    auto const found = services_.find(service);
    return found != services_.end() &&
           (found->second.cut ||
            recent_failures(found->second, now) >= options_.min_failures);
}

std::vector<service_id> reach_monitor::cut_services() const
{
    std::vector<service_id> cut;
    for (auto const& [service, state] : services_)
        if (state.cut)
            cut.push_back(service);
    return cut;
}

} // namespace marjorampath
