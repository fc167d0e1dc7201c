#include <marjorampath/deployment/endpoint_catalog.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace marjorampath
{

std::vector<endpoint_event>
endpoint_catalog::apply_listing(time_point listed_at, store_position position,
                                std::vector<endpoint_announcement> listing,
                                std::optional<time_point> available_since)
{
    std::vector<endpoint_event> events;
    if (position < position_)
        return events;
    auto const restored = listed_at_ && position.era > position_.era;
    note_reading(listed_at, available_since.value_or(listed_at), restored);
    if (restored)
        era_start_ = position;
    position_ = position;
    provisional_ = false;
    kept_ = 0;

    std::set<endpoint_id> listed;
    for (auto& entry : listing)
    {
        listed.insert(entry.id);
        apply_entry(std::move(entry), listed_at, events);
    }
    remove_missing(listed, listed_at, events);
    return events;
}

std::vector<endpoint_event>
endpoint_catalog::apply_part(time_point listed_at, store_position position,
                             std::vector<endpoint_announcement> part)
{
    std::vector<endpoint_event> events;
    if (listed_at_ && (position < position_ || position.era != position_.era))
        return events;
    for (auto& entry : part)
        apply_entry(std::move(entry), listed_at, events);
    return events;
}

void endpoint_catalog::remove_missing(std::set<endpoint_id> const& listed,
                                      time_point listed_at,
                                      std::vector<endpoint_event>& events)
{
    if (listed_at < keep_missing_until_)
    {
        for (auto const& [id, known] : endpoints_)
            kept_ += listed.contains(id) ? 0 : 1;
        provisional_ = provisional_ || kept_ > 0;
        return;
    }
    std::erase_if(gone_,
                  [&](auto const& entry) {
                      return listed_at - entry.second.noted_at > options_.leaving_memory;
                  });
    std::erase_if(endpoints_,
                  [&](auto& known)
                  {
                      if (listed.contains(known.first))
                          return false;
                      auto const started_at_ms = known.second.started_at_ms;
                      earlier_starts_.erase(known.first);
                      gone_[known.first] = {.started_at_ms = started_at_ms,
                                            .noted_at = listed_at,
                                            .era = position_.era};
                      events.push_back({.change = endpoint_change::gone,
                                        .endpoint = std::move(known.second),
                                        .ended_process_started_at_ms = started_at_ms});
                      return true;
                  });
}

void endpoint_catalog::confirm_listing(time_point listed_at, store_position position,
                                       time_point available_since)
{
    if (listed_at_ && position == position_)
        note_reading(listed_at, available_since, false);
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

void endpoint_catalog::note_reading(time_point listed_at, time_point available_since,
                                    bool restored)
{
    auto const outage = restored || (listed_at_ && available_since - *listed_at_ >
                                                       options_.outage_threshold);
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
    // The copy of a restored store lists it until the known process has written again
    return listed_at - noted.listed_since >= options_.earlier_start_delay &&
           (listed_at >= keep_missing_until_ || !is_of_copy(entry));
}

bool endpoint_catalog::is_same_but_position(endpoint_announcement const& known,
                                            endpoint_announcement entry)
{
    entry.position = known.position;
    return entry == known;
}

bool endpoint_catalog::is_of_copy(endpoint_announcement const& entry) const
{
    return entry.position <= era_start_;
}

bool endpoint_catalog::was_gone(endpoint_announcement const& entry) const
{
    auto const found = gone_.find(entry.id);
    return found != gone_.end() && found->second.era < entry.position.era &&
           entry.started_at_ms <= found->second.started_at_ms && is_of_copy(entry);
}

bool endpoint_catalog::outdates(endpoint_announcement const& known,
                                endpoint_announcement const& entry,
                                time_point listed_at) const
{
    return known.position.era < entry.position.era &&
           known.started_at_ms == entry.started_at_ms &&
           known.position.revision > entry.position.revision && is_of_copy(entry) &&
           listed_at < keep_missing_until_;
}

void endpoint_catalog::apply_entry(endpoint_announcement entry, time_point listed_at,
                                   std::vector<endpoint_event>& events)
{
    auto const found = endpoints_.find(entry.id);
    apply_leaving(entry);
    if (found == endpoints_.end())
    {
        if (was_gone(entry))
        {
            ++kept_;
            return;
        }
        gone_.erase(entry.id);
        events.push_back({.change = endpoint_change::appeared, .endpoint = entry});
        endpoints_.emplace(entry.id, std::move(entry));
        return;
    }

    auto& known = found->second;
    if (entry.position <= known.position)
        return;

    // An entry that a restored store still has is no news of its endpoint
    auto const is_new_era = known.position.era < entry.position.era;
    if (is_new_era && is_same_but_position(known, entry))
    {
        known.position = entry.position;
        return;
    }
    if (entry.started_at_ms < known.started_at_ms && !outlasts_known(entry, listed_at))
    {
        provisional_ = true;
        return;
    }
    earlier_starts_.erase(entry.id);
    if (outdates(known, entry, listed_at))
    {
        ++kept_;
        provisional_ = true;
        if (!entry.draining || known.draining)
            return;
        // That a process leaves is never taken back
        auto leaving = known;
        leaving.draining = true;
        replace(known, std::move(leaving), events);
        return;
    }
    replace(known, std::move(entry), events);
}

void endpoint_catalog::replace(endpoint_announcement& known, endpoint_announcement entry,
                               std::vector<endpoint_event>& events)
{
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
