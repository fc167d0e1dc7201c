#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

namespace marjorampath::serving
{

/// The answer to one GET request.
struct http_read_result
{
    /// Why there is no answer; a remote_error or an error of the network.
    std::error_code error;
    /// Value of the header `X-Revision`; zero where it is missing.
    std::uint64_t revision = 0;
    /// The body.
    std::string body;
};

/// Reads from one HTTP server over a connection that is kept. One read at a time. Must be
/// used from the executor's thread only.
class http_reader
{
public:
    /// How to construct an http_reader.
    struct options
    {
        /// Where the server listens.
        boost::asio::ip::tcp::endpoint server;
        /// The longest time for connecting and for an answer without waiting.
        std::chrono::milliseconds timeout{2000};
        /// The largest body that is taken, in bytes.
        std::size_t max_body_bytes = 1'048'576;
    };

    /// Does not connect yet.
    http_reader(boost::asio::any_io_executor const& executor, options values);

    /// Sends a GET request and reads the answer. `extra_time` is added to the timeout,
    /// for a request that the server holds back. A kept connection that turns out to be
    /// closed is replaced once.
    boost::asio::awaitable<http_read_result> get(std::string target,
                                                 std::chrono::milliseconds extra_time);

    /// Closes the connection; a read in progress ends with an error.
    void close();

private:
    // Connects where no connection is kept
    boost::asio::awaitable<boost::system::error_code> connect();

    // Sends one request and reads one answer over the connection
    boost::asio::awaitable<http_read_result> exchange(std::string const& target,
                                                      std::chrono::milliseconds timeout);

    // Settings
    options options_;
    // The connection
    boost::beast::tcp_stream stream_;
    // Bytes read ahead
    boost::beast::flat_buffer buffer_;
    // Whether the connection can carry another request
    bool connected_ = false;
};

} // namespace marjorampath::serving
