#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

namespace marjorampath::serving
{

/// The result of a GET request.
struct http_read_result
{
    /// Error that prevented an answer: a remote_error or a network error.
    std::error_code error;
    /// Bytes of the answer that were received.
    std::size_t received = 0;
    /// Value of the header `X-Revision`; zero if it is missing.
    std::uint64_t revision = 0;
    /// Value of the header `options::era_field`; zero if it is missing.
    std::uint64_t era = 0;
    /// Body of the answer.
    std::string body;
};

/// Sends GET requests to one HTTP server over a persistent connection, one request at a
/// time. Must be used on the executor's thread only.
class http_reader
{
public:
    /// Options of an http_reader.
    struct options
    {
        /// Address of the server.
        boost::asio::ip::tcp::endpoint server;
        /// Timeout of connecting, of an answer that the server does not hold back to
        /// begin, and of each pause within it.
        std::chrono::milliseconds timeout{2000};
        /// Maximum size of the body of an answer.
        std::size_t max_body_bytes = 1'048'576;
        /// Header with the number of the server's era; empty if it sends none.
        std::string era_field;
    };

    /// Creates a reader without connecting.
    http_reader(boost::asio::any_io_executor const& executor, options values);

    /// Sends a GET request and reads the answer. `extra_time` is added to the timeout,
    /// for requests that the server may hold back (long polling). If the server has
    /// closed the persistent connection, the request is repeated once over a new one.
    boost::asio::awaitable<http_read_result> get(std::string target,
                                                 std::chrono::milliseconds extra_time);

    /// Closes the connection; a read in progress ends with an error.
    void close();

private:
    // Opens a new connection
    boost::asio::awaitable<boost::system::error_code> connect();

    // Sends one request over the connection and reads the answer
    boost::asio::awaitable<http_read_result> exchange(std::string const& target,
                                                      std::chrono::milliseconds timeout);

    // Reads the era that an answer names
    void
    read_era(boost::beast::http::response<boost::beast::http::string_body> const& answer,
             http_read_result& result) const;

    options options_;
    // The connection
    boost::beast::tcp_stream stream_;
    // Bytes received after the last answer
    boost::beast::flat_buffer buffer_;
    // Whether the connection can carry another request
    bool connected_ = false;
};

} // namespace marjorampath::serving
