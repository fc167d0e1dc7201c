#pragma once

#include <marjorampath/core/hash.hpp>
#include <marjorampath/core/identifier.hpp>
#include <serving/caller/caller_limits.hpp>
#include <serving/caller/caller_request.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>

namespace marjorampath::serving
{

class caller_session;

/// What the callers' connections of one thread share. Used on that thread only.
struct caller_context
{
    /// The thread's event loop.
    boost::asio::io_context& loop;
    /// Bounds of what callers may send.
    caller_limits limits;
    /// Answers one request; the session sends what it is given.
    std::function<boost::asio::awaitable<void>(caller_session&, caller_message const&)>
        answer;
    /// Unique to this thread of this run of the program.
    std::uint64_t request_seed = 0;
    /// Requests numbered so far.
    std::uint64_t request_count = 0;
    /// Whether the host is shutting down: connections end behind their answer.
    bool stopping = false;

    /// A request identifier that no other thread or host uses.
    request_id next_request_id() noexcept
    {
        return request_id(hash_combine(request_seed, ++request_count));
    }
};

} // namespace marjorampath::serving
