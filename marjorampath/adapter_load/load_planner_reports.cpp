#include <marjorampath/adapter_load/load_planner.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjorampath
{

namespace
{

// Scores below this are removed
constexpr double min_score = 0.01;

} // namespace

void load_planner::on_report(engine_report const& report, time_point requested_at,
                             time_point now)
{
    auto const found = engines_.find(report.endpoint);
    if (found == engines_.end() ||
        found->second.announced.started_at_ms != report.started_at_ms ||
        requested_at < found->second.reports_valid_from)
        return;
    auto& target = found->second;
    if (is_outdated(target, report, requested_at))
        return;
    target.reported = true;
    target.is_loading_model = report.is_loading_model;
    target.models = report.models;
    target.last_report_at = requested_at;

    // A report that counts orders shows all unloads that this host knows of
    if (report.order_count)
        target.unloaded.clear();
    auto const known = std::exchange(target.adapters, {});
    keep_recent_orders(target, known, requested_at);
    for (auto const& adapter : report.adapters)
        if (!target.unloaded.contains(adapter.name))
            on_reported_loaded(target, adapter, known, now);
    for (auto const& adapter : report.loading_adapters)
        on_reported_loading(target, adapter, now);
}

bool load_planner::is_outdated(engine& target, engine_report const& report,
                               time_point requested_at) const
{
    if (target.order_count && report.order_count < target.order_count &&
        requested_at < target.last_accepted_at + options_.max_report_age)
        return true;
    // Orders that this host did not send have changed what the pending ones rest on
    if (target.order_count && target.order_count != report.order_count)
        discard_pending_orders(target);
    target.order_count = report.order_count;
    return false;
}

void load_planner::keep_recent_orders(engine& target, adapter_map const& known,
                                      time_point requested_at) const
{
    auto const settled = requested_at - options_.report_lag;
    for (auto const& [name, adapter] : known)
    {
        auto const is_recent = adapter.ordered_at && *adapter.ordered_at >= settled;
        if (!is_recent && !has_pending_order(target, name))
            continue;
        auto& kept = target.adapters.emplace(name, adapter).first->second;
        kept.reported = reported_state::absent;
    }
    std::erase_if(target.unloaded,
                  [&](auto const& entry) { return entry.second < settled; });
}

void load_planner::on_reported_loaded(engine& target, versioned_adapter const& adapter,
                                      adapter_map const& known, time_point now)
{
    // The grace period before an eviction starts at the expected end of the load
    adapter_entry fresh{.version = adapter.version, .ready_at = {}};
    auto const previous = known.find(adapter.name);
    if (previous != known.end())
        fresh.ready_at = std::min(previous->second.ready_at, now);

    // An older version stays listed until its replacement is loaded
    auto& entry = target.adapters.try_emplace(adapter.name, fresh).first->second;
    if (adapter.version >= entry.version)
        entry.reported = reported_state::loaded;
}

void load_planner::on_reported_loading(engine& target, versioned_adapter const& adapter,
                                       time_point now) const
{
    // The start of the load is unknown: assume that half of the load time is left
    adapter_entry const fresh{.version = adapter.version,
                              .ready_at = now + load_time(now) / 2};
    auto& entry = target.adapters.try_emplace(adapter.name, fresh).first->second;
    entry.reported = reported_state::loading;
}

void load_planner::on_usage(host_id host, endpoint_usage const& usage, time_point now)
{
    auto const found = engines_.find(usage.endpoint);
    if (found == engines_.end())
        return;
    auto& target = found->second;
    for (auto const& adapter : usage.adapters)
    {
        if (adapter.sent == 0)
            continue;
        auto const decayed = score(target, adapter.name, now);
        target.scores[adapter.name] = {decayed + adapter.sent, now};
    }
    target.usages[host] = {usage, now};
    std::erase_if(target.scores, [&](auto const& entry)
                  { return score(target, entry.first, now) < min_score; });
}

double load_planner::score(engine const& target, std::string const& adapter,
                           time_point now) const
{
    auto const found = target.scores.find(adapter);
    if (found == target.scores.end())
        return 0;
    auto const half_lives = std::chrono::duration<double>(now - found->second.changed) /
                            std::chrono::duration<double>(options_.use_half_life);
    return found->second.score * std::exp2(-half_lives);
}

bool load_planner::in_use(engine const& target, std::string const& adapter,
                          time_point now) const
{
    return std::any_of(target.usages.begin(), target.usages.end(),
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

engine_status load_planner::status(endpoint_id id, engine const& target,
                                   time_point now) const
{
    engine_status status{
        .endpoint = id,
        .started_at_ms = target.announced.started_at_ms,
        .accepts_orders = accepts_orders(target, now),
        .accepts_orders_in = std::max(duration{0}, target.orders_allowed_from - now),
        .free_adapter_slots = free_adapter_slots(target),
        .models = target.reported ? target.models : target.announced.models};
    for (auto const& [host, reported] : target.usages)
    {
        if (now - reported.at > options_.usage_expiry)
            continue;
        status.in_flight += reported.usage.in_flight;
        status.waiting_tokens += reported.usage.waiting_tokens;
        status.tokens += reported.usage.tokens;
    }
    for (auto const& [name, adapter] : target.adapters)
        if (!adapter.evicting)
            status.adapters.push_back(
                {.name = name,
                 .version = adapter.version,
                 .ready_in = std::max(duration{0}, adapter.ready_at - now),
                 .requests = score(target, name, now)});
    return status;
}

std::vector<engine_status> load_planner::statuses(time_point now) const
{
    std::vector<engine_status> found;
    for (auto const& [id, target] : engines_)
        if (target.fencing_number != 0)
            found.push_back(status(id, target, now));
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
