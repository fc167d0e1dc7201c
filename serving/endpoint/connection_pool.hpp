#pragma once

#include <marjorampath/core/time.hpp>
#include <serving/endpoint/directory.hpp>
#include <serving/endpoint/endpoint_socket.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorampath::serving
{

/// Limits of a connection pool.
struct connection_pool_options
{
    /// Maximum number of idle connections per endpoint.
    std::size_t max_idle_per_endpoint = 64;
    /// Maximum number of idle connections to all endpoints together.
    std::size_t max_idle = 1'024;
    /// Time after which an idle connection is no longer used.
    duration max_idle_time = std::chrono::seconds(20);
    /// Source address of new connections; chosen by the system if empty.
    std::optional<boost::asio::ip::address_v4> source;
    /// Budget of which connections get their places; null for none.
    std::shared_ptr<host_resources> resources = nullptr;
};

/// A connection to an endpoint. Shared so that it can be closed at a deadline, or when
/// the caller disconnects, while an exchange waits for it.
using endpoint_connection = std::shared_ptr<endpoint_socket>;

/// The idle keep-alive connections of one thread to all endpoints.
class connection_pool
{
public:
    /// Creates an empty pool; the executor is used for new sockets.
    connection_pool(boost::asio::any_io_executor executor,
                    connection_pool_options options);

    /// Takes an idle connection to the endpoint out of the pool: one that is still open
    /// and has been idle for at most `max_idle`. Null if there is none.
    endpoint_connection take_idle(directory_entry const& endpoint,
                                  duration max_idle = duration::max());

    /// Creates a socket that is not connected yet. Null if the host has no place for one
    /// more connection.
    [[nodiscard]] endpoint_connection make_socket() const;

    /// Connects a socket, disables Nagle's algorithm and makes it non-blocking.
    static boost::asio::awaitable<boost::system::error_code>
    connect(endpoint_connection connection, boost::asio::ip::tcp::endpoint address);

    /// Returns a connection to the pool after an answer was read to its end, at
    /// `idle_since`. The connection is dropped if the pool is full.
    void put_back(directory_entry const& endpoint, endpoint_connection connection,
                  time_point idle_since);

    /// Returns a connection to the pool whose answer has just been read.
    void put_back(directory_entry const& endpoint, endpoint_connection connection);

    /// Number of idle connections.
    [[nodiscard]] std::size_t idle() const noexcept
    {
        return idle_count_;
    }

private:
    struct idle_connection
    {
        endpoint_connection connection;
        // When it was returned to the pool
        time_point idle_since;
        // Address that it is connected to
        boost::asio::ip::tcp::endpoint address;
    };

    // Drops the idle connections that cannot be used any more
    void drop_stale();

    // Executor of new sockets
    boost::asio::any_io_executor executor_;
    connection_pool_options options_;
    // Idle connections of each endpoint; the most recently used one is last
    std::unordered_map<endpoint_id, std::vector<idle_connection>> idle_;
    // Number of idle connections to all endpoints
    std::size_t idle_count_ = 0;
};

} // namespace marjorampath::serving
