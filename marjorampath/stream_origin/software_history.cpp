#include <marjorampath/deployment/change_times.hpp>
#include <marjorampath/stream_origin/software_history.hpp>
#include <marjorampath/stream_origin/stream_begin.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

bool is_other_process(endpoint_announcement const& one,
                      endpoint_announcement const& other)
{
    return one.started_at_ms != other.started_at_ms ||
           one.software_version != other.software_version || one.service != other.service;
}

} // namespace

void software_history::on_listing(time_point listed_at, store_position position)
{
    if (!listed_at_ || listed_at - *listed_at_ > max_listing_gap)
    {
        first_listing_ = {.listed_at = listed_at, .position = position};
        known_since_ = listed_at;
        known_after_ = position;
    }
    listed_at_ = std::max(listed_at, listed_at_.value_or(listed_at));
}

void software_history::on_endpoint(endpoint_event const& event, time_point now)
{
    auto const& announced = event.endpoint;
    present_endpoint const present{.service = announced.service,
                                   .software_version = announced.software_version};
    auto const found = endpoints_.find(announced.id);
    if (found != endpoints_.end() &&
        (event.change == endpoint_change::gone ||
         event.change == endpoint_change::restarted || found->second != present))
        note_ended(found->second, now);
    if (event.change == endpoint_change::gone)
        endpoints_.erase(announced.id);
    else
        endpoints_[announced.id] = present;
    auto const oldest = now - options_.max_stream_age;
    std::erase_if(ended_, [&](auto const& entry)
                  { return !may_have_served(entry.second, oldest); });
}

void software_history::note_ended(present_endpoint const& endpoint, time_point ended_by)
{
    auto const found =
        ended_.try_emplace({endpoint.service, endpoint.software_version}, ended_by).first;
    found->second = std::max(found->second, ended_by);
}

void software_history::on_history(endpoint_history const& history, time_point read_at,
                                  wall_milliseconds wall_read_at)
{
    if (!first_listing_ || history.until.era != known_after_.era ||
        history.after.era != known_after_.era || history.until < known_after_ ||
        known_after_ <= history.after)
        return;
    auto const times = latest_change_times(
        history,
        {{.position = history.until, .reached_by = read_at},
         {.position = first_listing_->position, .reached_by = first_listing_->listed_at}},
        {});
    auto const is_whole = history.after.revision == 0;
    auto const begins_at = is_whole ? time_point::min() : times.front();

    // An entry that existed before names a process that started within the history: the
    // one before it ended there
    auto const follows_unseen_process = [&](endpoint_entry_change const& change)
    {
        wall_milliseconds const started(
            static_cast<std::int64_t>(change.entry->started_at_ms));
        return !change.created && !is_whole &&
               wall_read_at - started < read_at - begins_at + max_clock_error;
    };
    std::map<endpoint_id, endpoint_announcement const*> entries;
    for (std::size_t index = 0; index < history.changes.size(); ++index)
    {
        auto const& change = history.changes[index];
        auto const ended_by = times[index + 1];
        auto const found = entries.find(change.id);
        auto const* before = found == entries.end() ? nullptr : found->second;
        // The listings show the later ones, and when they were made
        if (change.position > first_listing_->position)
            break;
        auto const ended =
            !change.entry || (before ? is_other_process(*before, *change.entry)
                                     : follows_unseen_process(change));
        if (ended && before)
            note_ended({.service = before->service,
                        .software_version = before->software_version},
                       ended_by);
        else if (ended)
            unknown_ended_ = std::max(unknown_ended_.value_or(ended_by), ended_by);
        if (change.entry)
            entries[change.id] = &*change.entry;
        else
            entries.erase(change.id);
    }
    known_after_ = history.after;
    known_since_ = std::min(*known_since_, begins_at);
}

time_point software_history::needed_since(stream_begin const& begin) const
{
    return begin.told_earliest - options_.max_listing_delay;
}

bool software_history::is_known(stream_begin const& begin) const
{
    return known_since_ && *known_since_ <= needed_since(begin);
}

bool software_history::may_have_served(time_point ended_by, time_point since) const
{
    return ended_by >= since - options_.max_listing_delay;
}

possible_versions software_history::find_versions(service_id service,
                                                  stream_begin const& begin) const
{
    auto const unknown_end = unknown_ended_.value_or(time_point::min());
    possible_versions found{
        .complete = is_known(begin) && !may_have_served(unknown_end, begin.earliest),
        .complete_as_told = known_since_ && *known_since_ <= begin.told_earliest &&
                            unknown_end < begin.told_earliest};
    for (auto const& [id, endpoint] : endpoints_)
        if (endpoint.service == service)
            found.present.insert(endpoint.software_version);

    // What is known to have served counts for as long as the stream may be old
    for (auto const& [key, ended_by] : ended_)
        if (key.first == service && may_have_served(ended_by, begin.earliest))
            found.ended.insert(key.second);
    return found;
}

} // namespace marjorampath
