#pragma once

#include <marjorampath/core/hash.hpp>
#include <marjorampath/core/identifier.hpp>
#include <marjorampath/sheet/sheet.hpp>
#include <serving/endpoint/connection_pool.hpp>
#include <serving/endpoint/directory.hpp>
#include <serving/node/grant_client.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace marjorampath::serving
{

/// Bounds of what callers may send.
struct caller_limits
{
    /// Largest head of a request, in bytes.
    std::uint32_t max_head_bytes = 16'384;
    /// Largest body of a request, in bytes.
    std::uint64_t max_body_bytes = 8'388'608;
    /// Largest whole answer of an engine that is held until it is complete, in bytes.
    std::size_t max_whole_answer_bytes = 8'388'608;
    /// Time after which a connection without a request is closed.
    duration idle_timeout = std::chrono::seconds(75);
    /// Time within which a request must have been received whole.
    duration receive_timeout = std::chrono::seconds(30);
    /// Largest number of callers' connections of one traffic thread.
    std::size_t max_connections = 20'000;
    /// Largest number of attempts of one request.
    std::uint32_t max_attempts = 4;
    /// Longest deadline that a caller may ask for.
    duration max_deadline = std::chrono::minutes(10);
};

/// What a traffic thread routes by; replaced as a whole by the control thread.
struct routing_view
{
    /// The sheet in force, or null.
    std::shared_ptr<sheet const> sheet_in_force;
    /// The endpoints.
    std::shared_ptr<directory const> endpoints = std::make_shared<directory const>();
    /// Whether the host is shutting down.
    bool stopping = false;
};

/// Everything that the exchanges of one traffic thread share. Used on that thread only.
struct traffic_context
{
    /// The thread's event loop.
    boost::asio::io_context& loop;
    /// This host.
    host_id host;
    /// Bounds of what callers may send.
    caller_limits limits;
    /// The way to grants.
    grant_client grants;
    /// Kept connections to endpoints.
    connection_pool connections;
    /// Unique to this thread of this run of the program.
    std::uint64_t request_seed = 0;
    /// Requests numbered so far.
    std::uint64_t request_count = 0;
    /// What requests are routed by.
    routing_view view;

    /// A request identifier that no other thread or host uses.
    request_id next_request_id() noexcept
    {
        return request_id(hash_combine(request_seed, ++request_count));
    }
};

} // namespace marjorampath::serving
