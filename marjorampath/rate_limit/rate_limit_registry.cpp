#include <marjorampath/rate_limit/rate_limit_registry.hpp>

namespace marjorampath
{

bool rate_limit_registry::apply(rate_limit_notice const& notice, time_point now)
{
    entry const latest{.started_at_ms = notice.started_at_ms,
                       .rate = notice.rate,
                       .stated_at = now - notice.age,
                       .changed_at = now};
    auto const found = entries_.find(notice.endpoint);
    if (found == entries_.end())
    {
        if (notice.rate)
            entries_.emplace(notice.endpoint, latest);
        return notice.rate.has_value();
    }
    auto& present = found->second;
    if (latest.started_at_ms < present.started_at_ms)
        return false;
    if (latest.started_at_ms == present.started_at_ms &&
        latest.stated_at <= present.stated_at)
        return false;
    auto const changed = present.rate != latest.rate;
    auto const changed_at = changed ? now : present.changed_at;
    present = latest;
    present.changed_at = changed_at;
    return changed;
}

void rate_limit_registry::forget(endpoint_id endpoint)
{
    entries_.erase(endpoint);
}

std::optional<double> rate_limit_registry::limit_of(endpoint_id endpoint) const
{
    auto const found = entries_.find(endpoint);
    return found == entries_.end() ? std::nullopt : found->second.rate;
}

rate_limit_notice rate_limit_registry::notice_of(endpoint_id endpoint,
                                                 time_point now) const
{
    auto const found = entries_.find(endpoint);
    if (found == entries_.end())
        return {.endpoint = endpoint};
    return {.endpoint = endpoint,
            .started_at_ms = found->second.started_at_ms,
            .rate = found->second.rate,
            .age = now - found->second.stated_at};
}

std::vector<rate_limit_notice> rate_limit_registry::notices(time_point now,
                                                            duration max_ended_age) const
{
    std::vector<rate_limit_notice> found;
    for (auto const& [endpoint, each] : entries_)
        if (each.rate || now - each.changed_at <= max_ended_age)
            found.push_back(notice_of(endpoint, now));
    return found;
}

} // namespace marjorampath
