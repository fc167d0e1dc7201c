#pragma once

#include <tests/soak/soak_request.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath::test
{

/// Callers that send one request after another and keep their connections for as long as
/// the node does.
class soak_traffic
{
public:
    /// How to construct soak_traffic.
    struct options
    {
        /// Addresses of the nodes.
        std::vector<boost::asio::ip::tcp::endpoint> nodes;
        /// Host name of the routes.
        std::string host;
        /// Model whose adapters are asked for.
        std::string model;
        /// Adapters in demand.
        std::size_t adapters = 12;
        /// Callers at each node.
        std::size_t callers = 4;
        /// Seed of what they ask for.
        std::uint32_t seed = 1;
    };

    /// Runs on `context`.
    soak_traffic(boost::asio::io_context& context, options const& values);

    /// Starts the callers.
    void start();

    /// Lets each caller end after its present request. From any thread.
    void stop()
    {
        stopped_ = true;
    }

    /// Callers that have not ended. From any thread.
    [[nodiscard]] std::size_t running() const
    {
        return running_;
    }

    /// Everything asked so far. From any thread.
    [[nodiscard]] std::vector<soak_request> requests() const;

    /// Sends one request of a kind to a node on a connection of its own; blocks.
    soak_request send_once(std::size_t node, soak_kind kind);

private:
    using random_engine = boost::random::mt19937;
    using stream_type = boost::beast::tcp_stream;
    using message = boost::beast::http::request<boost::beast::http::string_body>;

    boost::asio::awaitable<void> call(std::size_t node, std::uint32_t seed);
    boost::asio::awaitable<void> ask(std::optional<stream_type>& stream,
                                     soak_request& asked);
    soak_request choose(std::size_t node, soak_kind kind, random_engine& random);
    [[nodiscard]] message make_message(soak_request const& asked) const;
    [[nodiscard]] static bool is_correct(soak_request const& asked,
                                         std::string const& body);

    boost::asio::io_context& context_;
    options options_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> running_ = 0;
    std::atomic<std::uint64_t> next_ = 0;
    // Guards `requests_`
    mutable std::mutex mutex_;
    std::vector<soak_request> requests_;
};

} // namespace marjorampath::test
