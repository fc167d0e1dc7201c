#pragma once

#include <marjorampath/core/time.hpp>
#include <serving/endpoint/directory.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorampath::serving
{

/// Bounds of a connection pool.
struct connection_pool_options
{
    /// Largest number of idle connections that are kept to one endpoint.
    std::size_t max_idle_per_endpoint = 64;
    /// Largest number of idle connections that are kept in all.
    std::size_t max_idle = 1'024;
    /// Time after which an idle connection is not used again.
    duration max_idle_time = std::chrono::seconds(20);
};

/// A connection to an endpoint. Shared so that a deadline or a caller that goes away can
/// close it while an exchange waits on it.
using endpoint_connection = std::shared_ptr<boost::asio::ip::tcp::socket>;

/// The kept connections of one thread to all endpoints.
class connection_pool
{
public:
    /// Makes an empty pool.
    connection_pool(boost::asio::any_io_executor executor,
                    connection_pool_options options);

    /// An idle connection that the endpoint has not closed and that was used within
    /// `max_idle`, or null.
    endpoint_connection take_idle(directory_entry const& endpoint,
                                  duration max_idle = duration::max());

    /// Makes a socket that is not connected yet.
    [[nodiscard]] endpoint_connection make_socket() const;

    /// Connects a socket and sets its options.
    static boost::asio::awaitable<boost::system::error_code>
    connect(endpoint_connection connection, boost::asio::ip::tcp::endpoint address);

    /// Keeps a connection whose last answer was read to its end.
    void put_back(directory_entry const& endpoint, endpoint_connection connection);

    /// Number of idle connections.
    [[nodiscard]] std::size_t idle() const noexcept
    {
        return idle_count_;
    }

private:
    // A kept connection
    struct idle_connection
    {
        // The connection
        endpoint_connection connection;
        // When it was put back
        time_point since;
        // Address that it leads to
        boost::asio::ip::tcp::endpoint address;
    };

    // Executor of the sockets
    boost::asio::any_io_executor executor_;
    // Bounds
    connection_pool_options options_;
    // Kept connections; the last one was used last
    std::unordered_map<endpoint_id, std::vector<idle_connection>> idle_;
    // Number of kept connections
    std::size_t idle_count_ = 0;
};

} // namespace marjorampath::serving
