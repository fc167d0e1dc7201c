#include <marjorampath/core/hash.hpp>
#include <marjorampath/quota/quota_registry.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace marjorampath
{

void quota_registry::set_organisations(std::vector<organisation> const& organisations,
                                       time_point now)
{
    std::set<std::uint64_t> limited;
    for (auto const& each : organisations)
    {
        if (each.quota.rate <= 0)
            continue;
        auto const id = hash_bytes(each.name);
        limited.insert(id);
        auto& known =
            entries_
                .try_emplace(
                    id, entry{.limit = {},
                              .share = quota_share(options_, started_at_, phase_of(id)),
                              .others = {}})
                .first->second;
        known.limit = each.quota;
        known.share.set_limit(each.quota.rate, each.quota.burst, now);
        known.share.set_hosts(quota_hosts_, now);
    }
    std::erase_if(entries_,
                  [&](auto const& known) { return !limited.contains(known.first); });
}

double quota_registry::phase_of(std::uint64_t organisation) const
{
    return static_cast<double>(hash_combine(self_.number(), organisation)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

quota_registry::entry* quota_registry::find(std::string_view organisation)
{
    auto const found = entries_.find(hash_bytes(organisation));
    return found == entries_.end() ? nullptr : &found->second;
}

double quota_registry::units_of(std::string_view organisation,
                                std::optional<std::uint64_t> tokens) const
{
    auto const found = entries_.find(hash_bytes(organisation));
    if (found == entries_.end())
        return 0;
    auto const& limit = found->second.limit;
    return limit.unit == quota_unit::requests
               ? 1.0
               : static_cast<double>(tokens.value_or(limit.plain_tokens));
}

std::optional<duration> quota_registry::ask(std::string_view organisation, double units,
                                            time_point now)
{
    auto* known = find(organisation);
    if (!known)
        return std::nullopt;
    auto const is_calm =
        known->share.is_young(now) && heard_established_ && known->others.asked == 0;
    auto const wait = known->share.ask(units, now);
    if (!wait || !is_calm)
        return wait;
    known->share.charge(units, now);
    return std::nullopt;
}

void quota_registry::charge(std::string_view organisation, double units, time_point now)
{
    if (auto* known = find(organisation))
        known->share.charge(units, now);
}

void quota_registry::give_back(std::string_view organisation, double units,
                               time_point now)
{
    if (auto* known = find(organisation))
        known->share.give_back(units, now);
}

void quota_registry::count(std::vector<quota_report> const& reports, double sign,
                           time_point now)
{
    for (auto const& report : reports)
    {
        auto const found = entries_.find(report.organisation);
        if (found == entries_.end())
            continue;
        auto& others = found->second.others;
        others.asked =
            std::max(others.asked + sign * static_cast<double>(report.asked), 0.0);
        others.used =
            std::max(others.used + sign * static_cast<double>(report.used), 0.0);
        found->second.share.set_others(others, now);
    }
}

void quota_registry::on_reports(host_id host, std::vector<quota_report> const& reports,
                                bool established, time_point now)
{
    heard_established_ = heard_established_ || established;
    auto const found = hosts_.find(host);
    if (found == hosts_.end() && reports.empty())
        return;
    auto& known = hosts_[host];
    known.received_at = now;
    if (known.reports == reports)
        return;
    count(known.reports, -1, now);
    known.reports = reports;
    count(known.reports, 1, now);
}

std::vector<quota_report> quota_registry::reports(time_point now)
{
    std::vector<quota_report> found;
    for (auto& [id, known] : entries_)
    {
        if (!known.share.is_reported(now))
            continue;
        auto const demand = known.share.demand(now);
        found.push_back({.organisation = id,
                         .asked = static_cast<std::uint64_t>(std::llround(demand.asked)),
                         .used = static_cast<std::uint64_t>(std::llround(demand.used))});
    }
    return found;
}

void quota_registry::set_hosts(quota_hosts const& hosts, time_point now)
{
    quota_hosts_ = hosts;
    for (auto& [id, known] : entries_)
        known.share.set_hosts(hosts, now);
    for (auto& [host, known] : hosts_)
        if (now - known.received_at > report_lifetime)
            count(std::exchange(known.reports, {}), -1, now);
    std::erase_if(hosts_, [&](auto const& known)
                  { return now - known.second.received_at > report_lifetime; });
}

} // namespace marjorampath
