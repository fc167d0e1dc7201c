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

/// Header fields of an answer.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// One request and the means to answer it.
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

    /// The target without its query.
    [[nodiscard]] std::string path() const;

    /// A parameter of the query, or an empty text.
    [[nodiscard]] std::string query(std::string_view name) const;

    /// A header field, or an empty text.
    [[nodiscard]] std::string header(std::string_view name) const;

    /// Header fields that each answer of this exchange carries.
    void add_header(std::string name, std::string value);

    /// Sends a whole answer.
    boost::asio::awaitable<void> reply(unsigned status, std::string body);

    /// Starts a stream of server-sent events; whether it could be written.
    boost::asio::awaitable<bool> start_events();

    /// Writes events; whether they could be written.
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

    /// Calls `handler` once if the peer closes the connection before the exchange ends.
    void on_disconnect(std::function<void()> handler);

    /// Stops waiting for the peer to close the connection.
    void stop_waiting();

private:
    // Connection
    boost::beast::tcp_stream& stream_;
    // Request
    request_type request_;
    // Fields of the answer
    header_list headers_;
    // Called when the peer is gone; shared with the pending wait
    std::shared_ptr<std::function<void()>> gone_;
    // Whether the connection may carry another request
    bool reusable_ = true;
};

/// A small HTTP server that passes each request to one handler. One thread.
class http_server
{
public:
    /// Answers one request.
    using handler_type = std::function<boost::asio::awaitable<void>(http_exchange&)>;

    /// Listens at `address`; throws boost::system::system_error where it cannot.
    http_server(boost::asio::io_context& context,
                boost::asio::ip::tcp::endpoint const& address, handler_type handler);

    /// The address with the actual port.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const noexcept
    {
        return address_;
    }

    /// Starts to accept connections.
    void start();

    /// Closes the listening socket and all connections.
    void stop();

    /// Listens again at the same address after `stop`.
    void restart();

private:
    // Binds and listens
    void listen();

    // Accepts connections until the listening socket is closed
    boost::asio::awaitable<void> accept_loop();

    // Serves one connection
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::beast::tcp_stream> stream);

    // Executor of all sockets
    boost::asio::io_context& context_;
    // Listening socket
    boost::asio::ip::tcp::acceptor acceptor_;
    // Address that it listens at
    boost::asio::ip::tcp::endpoint address_;
    // Answers requests
    handler_type handler_;
    // Open connections
    std::unordered_set<std::shared_ptr<boost::beast::tcp_stream>> streams_;
};

/// Reads `IP:PORT`, where port 0 lets the system choose; throws std::invalid_argument.
boost::asio::ip::tcp::endpoint parse_listen_address(std::string const& text);

/// Prints the line `listening on IP:PORT` that callers of the program wait for, and runs
/// the context until SIGTERM or SIGINT.
void run_until_signal(boost::asio::io_context& context, http_server& server);

} // namespace marjorampath::standin
