#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath::test
{

/// Clients that keep to no limit. Each opens one connection after another, sends
/// something that a good client does not, reads nothing, and leaves after a while.
class soak_crowd
{
public:
    /// How to construct a soak_crowd.
    struct options
    {
        /// Addresses of the nodes.
        std::vector<boost::asio::ip::tcp::endpoint> nodes;
        /// Value of the `Host` field.
        std::string host;
        /// Path of a safe request.
        std::string path;
        /// Number of clients of each node.
        std::size_t clients = 0;
        /// Seed of the clients' random choices.
        std::uint32_t seed = 1;
    };

    /// The clients run on `context`.
    soak_crowd(boost::asio::io_context& context, options const& values);

    /// Starts the clients.
    void start();

    /// Makes each client leave after its current connection. Thread-safe.
    void stop()
    {
        stopped_ = true;
    }

    /// Number of clients that have not left. Thread-safe.
    [[nodiscard]] std::size_t running() const
    {
        return running_;
    }

private:
    using random_engine = boost::random::mt19937;

    boost::asio::awaitable<void> run_client(std::size_t node, std::uint32_t seed);
    // What a client sends on one connection
    [[nodiscard]] std::string choose_bytes(random_engine& random) const;

    boost::asio::io_context& context_;
    options options_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> running_ = 0;
};

} // namespace marjorampath::test
