#include <marjorampath/deployment/software_history.hpp>

#include <algorithm>

namespace marjorampath
{

void software_history::on_listing(time_point listed_at)
{
    if (listed_at_ && listed_at - *listed_at_ > max_listing_gap)
        gap_end_ = listed_at;
    listed_at_ = std::max(listed_at, listed_at_.value_or(listed_at));
}

void software_history::on_endpoint(endpoint_event const& event, time_point now)
{
    known_since_ = known_since_.value_or(now);
    auto const& announced = event.endpoint;
    auto const found = endpoints_.find(announced.id);
    if (found != endpoints_.end() &&
        (event.change == endpoint_change::gone ||
         event.change == endpoint_change::restarted ||
         found->second.service != announced.service ||
         found->second.software_version != announced.software_version))
        departed_[{found->second.service, found->second.software_version}] = now;
    if (event.change == endpoint_change::gone)
        endpoints_.erase(announced.id);
    else
        endpoints_[announced.id] = {.service = announced.service,
                                    .software_version = announced.software_version,
                                    .started_at_ms = announced.started_at_ms};
    std::erase_if(departed_, [&](auto const& entry)
                  { return now - entry.second > max_stream_age_; });
}

std::optional<std::string>
software_history::only_version(service_id service, time_point now,
                               wall_milliseconds wall_now) const
{
    std::optional<std::string> only;
    auto const differs = [&](std::string const& version)
    {
        only = only.value_or(version);
        return *only != version;
    };
    if (gap_end_ && now - *gap_end_ < max_stream_age_)
        return std::nullopt;
    auto const known_long_enough = known_since_ && now - *known_since_ >= max_stream_age_;
    auto const max_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(max_stream_age_);
    for (auto const& [id, endpoint] : endpoints_)
    {
        if (endpoint.service != service)
            continue;
        wall_milliseconds const started(
            static_cast<std::int64_t>(endpoint.started_at_ms));
        if (differs(endpoint.software_version) ||
            (!known_long_enough && started + max_age > wall_now))
            return std::nullopt;
    }
    for (auto const& [key, left_at] : departed_)
        if (key.first == service && now - left_at <= max_stream_age_ &&
            differs(key.second))
            return std::nullopt;
    return only;
}

bool software_history::another_version_ended(service_id service,
                                             std::string const& version,
                                             time_point since) const
{
    if (gap_end_ && *gap_end_ >= since)
        return true;
    return std::any_of(departed_.begin(), departed_.end(),
                       [&](auto const& entry)
                       {
                           return entry.first.first == service &&
                                  entry.first.second != version && entry.second >= since;
                       });
}

} // namespace marjorampath
