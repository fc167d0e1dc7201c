#include <marjorampath/limits/rate_limit_registry.hpp>

namespace marjorampath
{

bool rate_limit_registry::apply(rate_limit_notice const& notice, time_point now)
{
    entry const latest{.started_at_ms = notice.started_at_ms,
                       .rate = notice.rate,
                       .stated_at = now - notice.age};
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
    present = latest;
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

} // namespace marjorampath
