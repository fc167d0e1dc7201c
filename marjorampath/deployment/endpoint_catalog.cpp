#include <marjorampath/deployment/endpoint_catalog.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace marjorampath
{

std::vector<endpoint_event>
endpoint_catalog::apply_listing(time_point listed_at, std::uint64_t revision,
                                std::vector<endpoint_announcement> listing,
                                std::optional<time_point> available_since)
{
    std::vector<endpoint_event> events;
    if (revision < revision_)
        return events;
    note_reading(listed_at, available_since.value_or(listed_at));
    revision_ = revision;

    std::set<endpoint_id> listed;
    for (auto& entry : listing)
    {
        listed.insert(entry.id);
        apply_entry(std::move(entry), listed_at, events);
    }
    if (listed_at < keep_missing_until_)
        return events;
    std::erase_if(endpoints_,
                  [&](auto& known)
                  {
                      if (listed.contains(known.first))
                          return false;
                      auto const started_at_ms = known.second.started_at_ms;
                      earlier_starts_.erase(known.first);
                      events.push_back({.change = endpoint_change::gone,
                                        .endpoint = std::move(known.second),
                                        .ended_process_started_at_ms = started_at_ms});
                      return true;
                  });
    return events;
}

void endpoint_catalog::confirm_listing(time_point listed_at, std::uint64_t revision,
                                       time_point available_since)
{
    if (listed_at_ && revision == revision_)
        note_reading(listed_at, available_since);
}

std::optional<endpoint_event> endpoint_catalog::note_leaving(endpoint_id id,
                                                             std::uint64_t started_at_ms,
                                                             time_point now)
{
    auto const found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.started_at_ms != started_at_ms ||
        found->second.draining)
        return std::nullopt;
    std::erase_if(leaving_, [&](auto const& entry)
                  { return now - entry.second.noted_at > options_.leaving_memory; });
    leaving_[id] = {.started_at_ms = started_at_ms, .noted_at = now};
    found->second.draining = true;
    return endpoint_event{.change = endpoint_change::draining, .endpoint = found->second};
}

void endpoint_catalog::apply_leaving(endpoint_announcement& entry) const
{
    auto const found = leaving_.find(entry.id);
    if (found != leaving_.end() && found->second.started_at_ms == entry.started_at_ms)
        entry.draining = true;
}

void endpoint_catalog::note_reading(time_point listed_at, time_point available_since)
{
    auto const outage =
        listed_at_ && available_since - *listed_at_ > options_.outage_threshold;
    if (outage)
    {
        keep_missing_until_ = available_since + options_.reregistration_grace;
        ++outages_;
    }
    if (outage || !available_since_)
        available_since_ = available_since;
    available_since_ = std::min(*available_since_, available_since);
    listed_at_ = std::max(listed_at, listed_at_.value_or(listed_at));
}

bool endpoint_catalog::outlasts_known(endpoint_announcement const& entry,
                                      time_point listed_at)
{
    earlier_start const first{.started_at_ms = entry.started_at_ms,
                              .listed_since = listed_at};
    auto& noted = earlier_starts_.try_emplace(entry.id, first).first->second;
    if (noted.started_at_ms != entry.started_at_ms)
        noted = first;
    return listed_at - noted.listed_since >= options_.earlier_start_delay;
}

void endpoint_catalog::apply_entry(endpoint_announcement entry, time_point listed_at,
                                   std::vector<endpoint_event>& events)
{
    auto const found = endpoints_.find(entry.id);
    apply_leaving(entry);
    if (found == endpoints_.end())
    {
        events.push_back({.change = endpoint_change::appeared, .endpoint = entry});
        endpoints_.emplace(entry.id, std::move(entry));
        return;
    }

    auto& known = found->second;
    if (entry.revision <= known.revision)
        return;
    if (entry.started_at_ms < known.started_at_ms && !outlasts_known(entry, listed_at))
        return;
    earlier_starts_.erase(entry.id);
    auto const restarted = entry.started_at_ms != known.started_at_ms ||
                           entry.address != known.address || entry.port != known.port ||
                           entry.service != known.service;
    if (!restarted && known.draining)
        entry.draining = true;
    auto change = endpoint_change::updated;
    if (restarted)
        change = endpoint_change::restarted;
    else if (entry.draining && !known.draining)
        change = endpoint_change::draining;
    auto const started_at_ms = restarted ? known.started_at_ms : 0;
    known = std::move(entry);
    events.push_back({.change = change,
                      .endpoint = known,
                      .ended_process_started_at_ms = started_at_ms});
}

endpoint_announcement const* endpoint_catalog::find(endpoint_id id) const
{
    auto const found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

} // namespace marjorampath
