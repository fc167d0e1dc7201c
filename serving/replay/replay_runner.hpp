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

/// How a trace is replayed.
struct replay_options
{
    /// Entry hosts; requests go to them in turn.
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    /// Factor of the trace's speed.
    double speed = 1.0;
    /// Largest number of requests under way; a request above it waits.
    std::size_t max_in_flight = 2'000;
    /// Largest number of times that a caller sends one request.
    std::size_t max_sendings = 4;
    /// Time after which a caller gives up waiting.
    std::chrono::milliseconds timeout{60'000};
    /// Called about once a second with the number of finished requests.
    std::function<void(std::size_t)> on_progress;
};

/// Sends the requests of a trace at their times, whether or not earlier ones have been
/// answered, and returns one result for each. A caller sends again where the answer was
/// `not-run` with a status that asks to come later, where no answer came and the request
/// has a key, and where a keyed request is still running.
std::vector<replay_result> run_replay(std::span<trace_request const> trace,
                                      replay_options const& options);

/// Reads JSON Lines of records from endpoints' `GET /records`; endpoints that do not
/// answer are named in `missing`.
std::vector<endpoint_record>
fetch_records(std::span<boost::asio::ip::tcp::endpoint const> endpoints,
              std::vector<std::string>& missing);

} // namespace marjorampath::serving
