#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace marjorampath::standin
{

/// Names and values of header fields.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// One request, with functions to answer it.
class http_exchange
{
public:
    /// A request with its whole body.
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    /// Answers over `stream`, which must outlive the exchange.
    http_exchange(boost::beast::tcp_stream& stream, request_type request);

    /// The request.
    [[nodiscard]] request_type const& request() const noexcept
    {
        return request_;
    }

    /// The request target without its query, decoded. Throws std::exception if it holds
    /// an invalid escape.
    [[nodiscard]] std::string path() const;

    /// The value of a query parameter, decoded as by servers of HTML forms: `+` is a
    /// blank. Empty where it is missing. Throws std::exception if the query holds an
    /// invalid escape, a semicolon or a character that must be encoded.
    [[nodiscard]] std::string query(std::string_view name) const;

    /// The value of a header field; empty where it is missing.
    [[nodiscard]] std::string header(std::string_view name) const;

    /// Adds a header field to the answer.
    void add_header(std::string name, std::string value);

    /// Sends a complete answer with a JSON body.
    boost::asio::awaitable<void> reply(unsigned status, std::string body);

    /// Starts a stream of server-sent events; false where the write failed.
    boost::asio::awaitable<bool> start_events();

    /// Writes events to the stream; false where the write failed.
    boost::asio::awaitable<bool> write_events(std::string const& text);

    /// Ends the stream of events.
    boost::asio::awaitable<void> finish_events();

    /// Closes the connection without a complete answer.
    void drop();

    /// Whether the connection may carry another request.
    [[nodiscard]] bool reusable() const noexcept
    {
        return reusable_;
    }

    /// Calls `handler` once if the peer closes the connection before the exchange ends or
    /// `cancel_disconnect_wait` is called.
    void on_disconnect(std::function<void()> handler);

    /// Cancels the wait of `on_disconnect`.
    void cancel_disconnect_wait();

private:
    // Connection; not owned
    boost::beast::tcp_stream& stream_;
    // Request
    request_type request_;
    // Additional header fields of the answer
    header_list headers_;
    // Called when the peer has closed the connection; the pending wait holds a weak
    // pointer
    std::shared_ptr<std::function<void()>> disconnect_handler_;
    // Whether the connection may carry another request
    bool reusable_ = true;
};

/// A small HTTP server that passes each request to one handler. Runs on one thread.
class http_server
{
public:
    /// Coroutine that answers one request.
    using handler_type = std::function<boost::asio::awaitable<void>(http_exchange&)>;

    /// Binds to `address` and listens; throws boost::system::system_error on failure.
    http_server(boost::asio::io_context& context,
                boost::asio::ip::tcp::endpoint const& address, handler_type handler);

    /// The listening address with the actual port.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const noexcept
    {
        return address_;
    }

    /// Starts accepting connections.
    void start();

    /// Closes the listening socket and all connections.
    void stop();

    /// Listens on the same address and accepts connections again, after `stop`.
    void restart();

private:
    // Opens the listening socket and stores its actual address
    void listen();

    // Accepts connections until the listening socket is closed
    boost::asio::awaitable<void> accept_loop();

    // Handles the requests of one connection until it is closed
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::beast::tcp_stream> stream);

    // Runs all sockets
    boost::asio::io_context& context_;
    // Listening socket
    boost::asio::ip::tcp::acceptor acceptor_;
    // Listening address
    boost::asio::ip::tcp::endpoint address_;
    // Answers requests
    handler_type handler_;
    // Open connections
    std::unordered_set<std::shared_ptr<boost::beast::tcp_stream>> connections_;
};

/// Parses `IP:PORT`; port 0 lets the system choose. Throws std::invalid_argument where
/// the text is no such address.
boost::asio::ip::tcp::endpoint parse_listen_address(std::string const& text);

/// Starts `server`, prints the line `listening on IP:PORT`, for which the starting script
/// waits, and runs the context until SIGTERM or SIGINT.
void run_until_signal(boost::asio::io_context& context, http_server& server);

} // namespace marjorampath::standin
