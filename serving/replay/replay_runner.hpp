#pragma once

#include <marjorampath/trace/replay_result.hpp>
#include <marjorampath/trace/trace_request.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace marjorampath::serving
{

/// Options of a replay.
struct replay_options
{
    /// Addresses of the entry hosts, used in round-robin order; must not be empty.
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    /// Replay speed relative to the times in the trace; must be positive.
    double speed = 1.0;
    /// Maximum number of requests in flight; further requests wait.
    std::size_t max_in_flight = 2'000;
    /// Maximum number of times that a caller sends one request.
    std::size_t max_sendings = 4;
    /// Time after which a caller gives up on an answer.
    std::chrono::milliseconds timeout{60'000};
    /// Called about once per second with the number of finished requests; may be empty.
    std::function<void(std::size_t)> on_progress;
};

/// Sends the requests of a trace at their recorded times, independent of the answers to
/// earlier ones, and returns one result per request. A caller sends a request again if
/// the answer was `not-run` with a status that asks to retry later, if no answer came and
/// the request has a key, and if a keyed request is still running.
std::vector<replay_result> run_replay(std::span<trace_request const> trace,
                                      replay_options const& options);

/// Fetches the records that endpoints serve as JSON Lines under `GET /records`. Appends
/// the addresses of endpoints without a complete answer to `unreachable`.
std::vector<endpoint_record>
fetch_records(std::span<boost::asio::ip::tcp::endpoint const> endpoints,
              std::vector<std::string>& unreachable);

} // namespace marjorampath::serving
