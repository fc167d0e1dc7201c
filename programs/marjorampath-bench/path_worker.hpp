#pragma once

#include <programs/marjorampath-bench/path_answer.hpp>
#include <programs/marjorampath-bench/path_options.hpp>
#include <programs/marjorampath-bench/path_statistics.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// The callers of one thread.
class path_worker
{
public:
    /// Generates `1 / options.threads` of the load; `index` is the number of the thread.
    /// `options` must outlive the worker.
    path_worker(path_options const& options, std::uint32_t index);

    /// Runs until all requests are answered.
    void run();

    /// Results so far.
    [[nodiscard]] path_statistics const& statistics() const noexcept
    {
        return statistics_;
    }

private:
    using clock = std::chrono::steady_clock;

    // A connection that is kept alive
    struct connection
    {
        explicit connection(boost::asio::io_context& context) : stream(context) {}

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        bool open = false;
    };

    // A request to send
    struct call
    {
        clock::time_point due;
        std::string body;
        std::string expected;
        std::uint64_t number = 0;
        bool streamed = false;
    };

    // Starts requests at the configured rate
    boost::asio::awaitable<void> send_at_rate();

    // Sends each request when the previous one is answered
    boost::asio::awaitable<void> send_back_to_back();

    // Sends one request, again if it was not run, and records its last answer
    boost::asio::awaitable<void> run_request(call request);

    // Sends a request once; `first_body_at` is set to the time of the first part of the
    // body
    boost::asio::awaitable<path_answer> send(connection& link, call const& request,
                                             clock::time_point& first_body_at);

    // Whether neither the number of requests nor the duration is exhausted
    bool can_start() const;

    // Creates the next request
    call make_call(clock::time_point due);

    // Counts the last answer of a request
    void record_result(call const& request, answer_verdict verdict,
                       path_answer const& answer, clock::time_point first_body_at);

    // Returns an idle connection to a target, or a new one that is not open
    std::unique_ptr<connection> take_connection(std::size_t target);

    path_options const& options_;
    // Number of this thread
    std::uint32_t index_;
    boost::asio::io_context context_{1};
    // Idle connections by target
    std::vector<std::vector<std::unique_ptr<connection>>> idle_;
    // Chooses adapters and streaming
    boost::random::mt19937_64 random_;
    // Time after which no request is started
    clock::time_point end_;
    // Number of requests not started yet
    std::uint64_t remaining_ = 0;
    // Number of requests in flight
    std::uint32_t in_flight_ = 0;
    path_statistics statistics_;
};

} // namespace marjorampath::bench
