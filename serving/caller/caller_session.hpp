#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <serving/caller/caller_context.hpp>
#include <serving/caller/caller_request.hpp>
#include <serving/caller/error_reply.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace marjorampath::serving
{

/// One connection of a caller: reads its requests one after another and sends the
/// answers. An idle connection holds no buffer.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    /// The head of an answer whose body is sent in pieces.
    using answer_head = boost::beast::http::response<boost::beast::http::empty_body>;

    /// Takes ownership of an accepted connection. The context must outlive the session.
    caller_session(boost::asio::ip::tcp::socket socket, caller_context& context);

    /// Serves the connection until it ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection: at once if no request is in progress, otherwise after the
    /// current answer.
    void stop();

    /// Closes the connection if its current time limit (for idling, receiving a request
    /// or sending an answer) has passed.
    void close_if_expired(time_point now);

    /// Sends a complete answer.
    boost::asio::awaitable<boost::system::error_code> send(caller_answer answer);

    /// Sends the head of an answer. The body follows with `write_body`; it is chunked if
    /// the head says so.
    boost::asio::awaitable<boost::system::error_code> send_head(answer_head head);

    /// Sends a piece of the body. Completes when the socket has accepted all of it, so
    /// that a slow caller slows down the exchange.
    boost::asio::awaitable<boost::system::error_code> write_body(std::string_view piece);

    /// Sends the last chunk of a chunked body. Without it the caller can tell that the
    /// answer is truncated.
    boost::asio::awaitable<boost::system::error_code> finish_body();

    /// Makes the connection close after what was sent, because the answer cannot be
    /// completed or its end is marked by the end of the connection.
    void close_after_answer() noexcept
    {
        keep_alive_ = false;
    }

    /// Closes the connection if the rest of the answer is not sent within
    /// `caller_limits::receive_timeout`.
    void start_send_timeout()
    {
        expire_after(context_->limits.receive_timeout);
    }

    /// Calls `on_disconnect` once if the caller closes its connection before
    /// `unwatch_disconnect`. Has no effect if bytes of the next request were received
    /// already.
    void watch_disconnect(std::function<void()> on_disconnect);

    /// Stops watching for the caller to disconnect.
    void unwatch_disconnect();

    /// Cancels a write that is in progress; the write fails.
    void cancel_write();

    /// The identifier of the current request, as sent in X-Request-Id.
    [[nodiscard]] std::string const& request_name() const noexcept
    {
        return request_name_;
    }

    /// Whether the caller understands chunked bodies: the current request is HTTP/1.1.
    [[nodiscard]] bool accepts_chunks() const noexcept
    {
        return version_ == 11;
    }

private:
    // Value of expires_at_ while no time limit is set
    static constexpr time_point never = time_point::max();

    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    // Waits for the first byte of a request; false if the connection ends
    boost::asio::awaitable<bool> wait_for_request();

    // Reads and answers one request; false if the connection is to be closed
    boost::asio::awaitable<bool> serve_request();

    // Reads the head of a request
    boost::asio::awaitable<boost::system::error_code> receive_head(parser_type& parser);

    // Reads the rest of a request
    boost::asio::awaitable<boost::system::error_code> receive_body(parser_type& parser);

    // Answers a request that is refused by its head; false if the connection is to be
    // closed, as the rest of the request would have to be read
    boost::asio::awaitable<bool> refuse(parser_type const& parser, caller_answer answer);

    // Answers a request that could not be parsed
    boost::asio::awaitable<void> reject(boost::system::error_code error);

    // Reads and discards what the caller still sends: closing a socket with unread bytes
    // resets the connection, and the caller could lose the answer
    boost::asio::awaitable<void> discard_input();

    // Sets the time limit after which `close_if_expired` closes the connection
    void expire_after(duration time_left);

    // Sets the header fields that all answers have
    void set_common_fields(boost::beast::http::fields& fields) const;

    // Starts waiting for the caller to close its connection
    void arm_watch();

    boost::asio::ip::tcp::socket socket_;
    // Shared state of this thread; not owned
    caller_context* context_;
    // When `close_if_expired` closes the connection
    time_point expires_at_ = never;
    // Bytes read beyond the current request
    boost::beast::flat_buffer buffer_;
    // Called once when the caller disconnects; empty while not watching
    std::function<void()> on_disconnect_;
    // Identifier of the current request, as 16 hexadecimal digits
    std::string request_name_;
    // HTTP version of the current request
    unsigned version_ = 11;
    // Incremented by `watch_disconnect` and `unwatch_disconnect`, so that a wait of an
    // earlier watch is ignored
    unsigned watch_generation_ = 0;
    // Whether the connection stays open after the current answer
    bool keep_alive_ = true;
    // Whether a request is in progress
    bool busy_ = false;
    // Whether the body of the current answer is chunked
    bool chunked_ = false;
    // Whether a write is in progress
    bool writing_ = false;
    // Whether `stop` was called: the connection closes after the current answer
    bool stopping_ = false;
};

} // namespace marjorampath::serving
