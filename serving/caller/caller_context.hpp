#pragma once

#include <marjorampath/core/hash.hpp>
#include <marjorampath/core/identifier.hpp>
#include <serving/caller/caller_limits.hpp>
#include <serving/caller/caller_request.hpp>
#include <serving/caller/error_reply.hpp>
#include <serving/resources/host_resources.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace marjorampath::serving
{

class caller_session;

/// State shared by the callers' connections of one traffic thread. Used on that thread
/// only.
struct caller_context
{
    /// The thread's event loop.
    boost::asio::io_context& loop;
    /// Limits on callers' connections and requests.
    caller_limits limits;
    /// Handles one request and sends the answer through the session.
    std::function<boost::asio::awaitable<void>(caller_session&, caller_message const&)>
        handle_request;
    /// Refuses a request by its head, before its body is read; empty answer for one that
    /// may go on. May be null.
    std::function<std::optional<caller_answer>(caller_message const&)> refuse_head;
    /// Budget of which the connections get their places and memory; null for none.
    std::shared_ptr<host_resources> resources = nullptr;
    /// Whose connections these are.
    connection_class of = connection_class::callers;
    /// Hash seed of the request identifiers; differs for every thread and every start of
    /// the program.
    std::uint64_t request_seed = 0;
    /// Number of request identifiers generated so far.
    std::uint64_t request_count = 0;
    /// Whether the host is shutting down: connections close after their current answer.
    bool stopping = false;

    /// Generates a request identifier; no other thread or host generates the same one.
    request_id next_request_id() noexcept
    {
        return request_id(hash_combine(request_seed, ++request_count));
    }
};

} // namespace marjorampath::serving
