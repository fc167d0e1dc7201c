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
    /// Carries `1 / options.threads` of the load; `index` tells threads apart.
    path_worker(path_options const& options, std::uint32_t index);

    /// Runs until all requests are answered.
    void run();

    /// What was seen.
    [[nodiscard]] path_statistics const& statistics() const noexcept
    {
        return statistics_;
    }

private:
    using clock = std::chrono::steady_clock;

    // A kept connection
    struct connection
    {
        explicit connection(boost::asio::io_context& context) : stream(context) {}

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        bool open = false;
    };

    // A request to be sent
    struct call
    {
        clock::time_point due;
        std::string body;
        std::string expected;
        std::uint64_t number = 0;
        bool streamed = false;
    };

    // Starts requests at their times
    boost::asio::awaitable<void> pace();

    // Sends one request after the other
    boost::asio::awaitable<void> keep_calling();

    // Sends one request until it has its last answer
    boost::asio::awaitable<void> carry(call request);

    // Sends one request once
    boost::asio::awaitable<path_answer> send(connection& link, call const& request,
                                             clock::time_point& first_part);

    // Whether another request may be started
    bool may_start() const;

    // The next request
    call make_call(clock::time_point due);

    // Notes the last answer of a request
    void note(call const& request, answer_verdict verdict, path_answer const& answer,
              clock::time_point first_part);

    // An idle connection to the target of a request
    std::unique_ptr<connection> take_connection(std::size_t target);

    // Settings
    path_options const& options_;
    // Number of this thread
    std::uint32_t index_;
    // Runs everything
    boost::asio::io_context context_{1};
    // Idle connections by target
    std::vector<std::vector<std::unique_ptr<connection>>> idle_;
    // Source of adapters
    boost::random::mt19937_64 random_;
    // When no further request is started
    clock::time_point end_;
    // Requests that may still be started
    std::uint64_t left_ = 0;
    // Requests under way
    std::uint32_t under_way_ = 0;
    // What was seen
    path_statistics statistics_;
};

} // namespace marjorampath::bench
