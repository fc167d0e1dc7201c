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

/// Callers that send one request after another and reuse a connection until the node
/// closes it.
class soak_traffic
{
public:
    /// How to construct soak_traffic.
    struct options
    {
        /// Addresses of the nodes.
        std::vector<boost::asio::ip::tcp::endpoint> nodes;
        /// Value of the `Host` field of all requests.
        std::string host;
        /// Model whose adapters are requested.
        std::string model;
        /// Number of adapters that are requested.
        std::size_t adapters = 12;
        /// Number of callers of each node.
        std::size_t callers = 4;
        /// Number of callers whose requests have the part that crashes engines, over all
        /// nodes.
        std::size_t crashing_callers = 0;
        /// That part.
        std::string crashing_part;
        /// Organisations whose keys are revoked meanwhile; zero if callers send no keys.
        std::size_t revocations = 0;
        /// Seed of the callers' random choices.
        std::uint32_t seed = 1;
    };

    /// The callers run on `context`.
    soak_traffic(boost::asio::io_context& context, options const& values);

    /// Starts the callers.
    void start();

    /// Makes each caller end after its current request. Thread-safe.
    void stop()
    {
        stopped_ = true;
    }

    /// Number of callers that have not ended. Thread-safe.
    [[nodiscard]] std::size_t running() const
    {
        return running_;
    }

    /// All requests that have ended so far. Thread-safe.
    [[nodiscard]] std::vector<soak_request> requests() const;

    /// Sends one request on a new connection and blocks until its answer or a timeout.
    /// `requests` does not list it.
    soak_request send_once(std::size_t node, soak_kind kind);

private:
    using random_engine = boost::random::mt19937;
    using stream_type = boost::beast::tcp_stream;
    using message = boost::beast::http::request<boost::beast::http::string_body>;

    boost::asio::awaitable<void> run_caller(std::size_t node, std::uint32_t seed);
    // Sends requests that crash engines, each to another node
    boost::asio::awaitable<void> run_crashing_caller(std::uint32_t seed);
    boost::asio::awaitable<void> exchange(std::optional<stream_type>& stream,
                                          soak_request& request);
    soak_request choose_request(std::size_t node, soak_kind kind, random_engine& random);
    // The organisation of an attempt's caller; empty without organisations
    [[nodiscard]] std::string choose_organisation(std::uint64_t attempt) const;
    // The request that continues a broken stream at another node
    soak_request continue_stream(soak_request const& broken);
    // Adds an ended request to the list
    void add(soak_request const& request);
    // Reads the whole events of an answer in order
    static void read_events(soak_request& request, std::string const& body);
    // The parts of a request's prompt; no two requests have all of them in common
    [[nodiscard]] std::string prompt_parts(soak_request const& request) const;
    [[nodiscard]] message make_message(soak_request const& request) const;
    [[nodiscard]] static bool is_correct(soak_request const& request,
                                         std::string const& body);

    boost::asio::io_context& context_;
    options options_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> running_ = 0;
    std::atomic<std::uint64_t> next_attempt_ = 0;
    // Guards `requests_`
    mutable std::mutex mutex_;
    std::vector<soak_request> requests_;
};

} // namespace marjorampath::test
