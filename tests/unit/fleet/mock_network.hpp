#pragma once

#include <marjorampath/core/time.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace marjorampath::test
{

/// Faults that the mock network applies to messages.
struct link_faults
{
    /// Share of messages that are lost, in thousandths.
    int lost = 0;
    /// Share of messages that arrive twice, in thousandths.
    int duplicated = 0;
    /// Share of messages that are delayed by up to `long_delay`, in thousandths.
    int delayed = 0;
    /// Largest delay of other messages.
    duration delay = std::chrono::milliseconds(2);
    /// Largest delay of a delayed message.
    duration long_delay = std::chrono::milliseconds(1'500);
};

/// Simulates virtual time, events, and a network between numbered hosts that loses,
/// delays, duplicates and reorders messages. All random choices depend on the seed only.
/// Hosts can be paused, and partitioned into groups.
class mock_network
{
public:
    using event = std::function<void()>;

    mock_network(std::uint64_t seed, std::size_t hosts)
        : random(static_cast<std::uint32_t>(seed)), resume_(hosts), group_(hosts, 0)
    {
    }

    /// A random number in [low, high].
    std::int64_t pick(std::int64_t low, std::int64_t high)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(low, high)(random);
    }

    /// A random duration in [low, high].
    duration pick(duration low, duration high)
    {
        return duration(pick(low.count(), high.count()));
    }

    /// True with a probability of `permille` thousandths.
    bool chance(int permille)
    {
        return permille > 0 && pick(std::int64_t{1}, std::int64_t{1'000}) <= permille;
    }

    [[nodiscard]] duration now() const noexcept
    {
        return now_;
    }

    /// Runs an event at a host after a delay, or at the end of the host's pause if that
    /// is later.
    void after(duration delay, std::size_t host, event action)
    {
        push({now_ + delay, ++number_, host, std::move(action)});
    }

    /// Sends a message; `deliver` runs at the receiver for each copy that arrives.
    void send(std::size_t from, std::size_t to, event const& deliver)
    {
        ++messages;
        auto const copies = chance(faults.duplicated) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            if (from != to && (group_[from] != group_[to] || chance(faults.lost)))
                continue;
            auto const limit = chance(faults.delayed) ? faults.long_delay : faults.delay;
            after(pick(duration{50'000}, limit), to, deliver);
        }
    }

    void pause(std::size_t host, duration length)
    {
        resume_[host] = now_ + length;
    }

    void set_group(std::size_t host, int group)
    {
        group_[host] = group;
    }

    /// Runs the next event. Returns false if there is none up to `end`.
    bool step(duration end)
    {
        if (queue_.empty() || queue_.front().at > end)
            return false;
        std::pop_heap(queue_.begin(), queue_.end());
        auto next = std::move(queue_.back());
        queue_.pop_back();
        now_ = next.at;
        if (resume_[next.host] > now_)
        {
            // Deferred until the paused host resumes, as if buffered there
            next.at = resume_[next.host];
            push(std::move(next));
            return true;
        }
        next.action();
        return true;
    }

    /// Source of all random choices.
    boost::random::mt19937 random;
    /// Faults in force.
    link_faults faults;
    /// Messages sent so far.
    std::uint64_t messages = 0;

private:
    struct entry
    {
        // Time of the event
        duration at;
        // Sequence number, which orders events of the same time
        std::uint64_t number;
        // Host that the event runs at
        std::size_t host;
        event action;

        bool operator<(entry const& other) const noexcept
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void push(entry next)
    {
        queue_.push_back(std::move(next));
        std::push_heap(queue_.begin(), queue_.end());
    }

    // Current virtual time
    duration now_{0};
    // Sequence number of the latest event
    std::uint64_t number_ = 0;
    // Pending events, as a heap
    std::vector<entry> queue_;
    // End of each host's pause
    std::vector<duration> resume_;
    // Group of each host; messages between groups are lost
    std::vector<int> group_;
};

} // namespace marjorampath::test
