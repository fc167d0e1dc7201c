#pragma once

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace marjorampath::serving
{

/// Timers of the exchanges that wait for an update of a key.
template <class Key>
using waiting_timers = std::multimap<Key, boost::asio::steady_timer*>;

/// Passes replies of other hosts to the exchanges that wait for them. `Reply` has the
/// `number` of the message that it answers.
template <class Reply>
class pending_replies
{
public:
    /// Timers of the exchanges that wait, by the number of their message.
    waiting_timers<std::uint64_t> waiters;

    /// Returns the number of the next message.
    std::uint64_t next_number()
    {
        return ++last_number_;
    }

    /// Stores a reply and ends the wait for it; a reply that came too late is dropped.
    void deliver(Reply const& reply)
    {
        auto const [begin, end] = waiters.equal_range(reply.number);
        if (begin == end)
            return;
        replies_[reply.number] = reply;
        for (auto each = begin; each != end; ++each)
            each->second->cancel();
    }

    /// Extracts the reply to a message, or nothing if none has come.
    std::optional<Reply> take(std::uint64_t number)
    {
        auto node = replies_.extract(number);
        return node ? std::optional<Reply>(std::move(node.mapped())) : std::nullopt;
    }

private:
    std::map<std::uint64_t, Reply> replies_;
    std::uint64_t last_number_ = 0;
};

} // namespace marjorampath::serving
