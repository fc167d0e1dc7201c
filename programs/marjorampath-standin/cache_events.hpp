#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>

namespace marjorampath::standin
{

/// The prefix cache events of the engine. Readers see them late, some are lost, and only
/// a bounded number is kept.
class cache_events
{
public:
    /// Settings of cache_events.
    struct options
    {
        /// Time from an event until readers see it.
        std::chrono::milliseconds lag{500};
        /// Every event whose number is a multiple of this is lost; zero loses none.
        std::uint64_t lose_every = 0;
    };

    /// Starts with an empty cache and no events.
    explicit cache_events(options values) : options_(values) {}

    /// Adds a prefix, given by its hash, to the cache; evicts the oldest one when full.
    void store(std::uint64_t prefix)
    {
        if (std::find(cached_prefixes_.begin(), cached_prefixes_.end(), prefix) !=
            cached_prefixes_.end())
            return;
        cached_prefixes_.push_back(prefix);
        append("stored", prefix);
        if (cached_prefixes_.size() <= max_prefixes)
            return;
        append("removed", cached_prefixes_.front());
        cached_prefixes_.pop_front();
    }

    /// Empties the cache and removes all events, as a restart does. Numbers go on.
    void clear()
    {
        cached_prefixes_.clear();
        events_.clear();
    }

    /// The visible events after a sequence number, in the format of docs/INTERFACES.md.
    [[nodiscard]] boost::json::object read(std::uint64_t after) const
    {
        auto const visible_until = std::chrono::steady_clock::now() - options_.lag;
        boost::json::array events;
        std::uint64_t next = after;
        for (auto const& each : events_)
        {
            if (each.at > visible_until)
                break;
            if (each.number <= after)
                continue;
            next = each.number;
            if (options_.lose_every > 0 && each.number % options_.lose_every == 0)
                continue;
            events.push_back(boost::json::object{
                {"seq", each.number}, {"kind", each.kind}, {"prefix", each.prefix}});
        }
        return {{"events", std::move(events)}, {"next", next}};
    }

private:
    // One change of the cache
    struct event
    {
        std::uint64_t number;
        char const* kind;
        std::uint64_t prefix;
        std::chrono::steady_clock::time_point at;
    };

    // Appends an event and removes the oldest one beyond the limit
    void append(char const* kind, std::uint64_t prefix)
    {
        events_.push_back(
            {++last_number_, kind, prefix, std::chrono::steady_clock::now()});
        if (events_.size() > max_events)
            events_.pop_front();
    }

    // Capacity of the cache, in prefixes
    static constexpr std::size_t max_prefixes = 64;
    // Number of events that are kept
    static constexpr std::size_t max_events = 4096;
    // Settings
    options options_;
    // Number of the last event
    std::uint64_t last_number_ = 0;
    // Cached prefixes, the oldest first
    std::deque<std::uint64_t> cached_prefixes_;
    // Events, the oldest first
    std::deque<event> events_;
};

} // namespace marjorampath::standin
