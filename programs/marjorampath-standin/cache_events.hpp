#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>

namespace marjorampath::standin
{

/// The prefix cache events of the engine: bounded in number, late, and with gaps.
class cache_events
{
public:
    /// How to construct cache_events.
    struct options
    {
        /// Time before an event is shown.
        std::chrono::milliseconds lag{500};
        /// One of so many events is lost; zero for none.
        std::uint64_t lose_every = 0;
    };

    /// No events yet.
    explicit cache_events(options values) : options_(values) {}

    /// Notes that the cache now holds a prefix; removes the oldest beyond its bound.
    void store(std::uint64_t prefix)
    {
        if (std::find(held_.begin(), held_.end(), prefix) != held_.end())
            return;
        held_.push_back(prefix);
        append("stored", prefix);
        if (held_.size() <= max_prefixes)
            return;
        append("removed", held_.front());
        held_.pop_front();
    }

    /// Forgets everything, as after a restart.
    void clear()
    {
        held_.clear();
        events_.clear();
    }

    /// The events after a sequence number, as docs/INTERFACES.md states.
    [[nodiscard]] boost::json::object read(std::uint64_t after) const
    {
        auto const shown_until = std::chrono::steady_clock::now() - options_.lag;
        boost::json::array events;
        std::uint64_t next = after;
        for (auto const& each : events_)
        {
            if (each.at > shown_until)
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
    struct event
    {
        std::uint64_t number;
        char const* kind;
        std::uint64_t prefix;
        std::chrono::steady_clock::time_point at;
    };

    void append(char const* kind, std::uint64_t prefix)
    {
        events_.push_back({++last_, kind, prefix, std::chrono::steady_clock::now()});
        if (events_.size() > max_events)
            events_.pop_front();
    }

    // Prefixes that the cache holds
    static constexpr std::size_t max_prefixes = 64;
    // Events that are kept
    static constexpr std::size_t max_events = 4096;
    // Settings
    options options_;
    // Number of the last event
    std::uint64_t last_ = 0;
    // Prefixes held, the oldest first
    std::deque<std::uint64_t> held_;
    // Events, the oldest first
    std::deque<event> events_;
};

} // namespace marjorampath::standin
