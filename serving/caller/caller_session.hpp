#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <serving/caller/caller_context.hpp>
#include <serving/caller/caller_request.hpp>
#include <serving/caller/error_reply.hpp>
#include <serving/resources/resource_place.hpp>

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

    /// Takes a place for the connection in the host's resource budget; false if there is
    /// none.
    bool open_place();

    /// Serves the connection until it ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection: at once if no request is in progress, otherwise after the
    /// current answer.
    void stop();

    /// Ends what the connection does if the time limit for it (idling, receiving a
    /// request or sending an answer) has passed.
    void close_if_expired(time_point now);

    /// Reserves memory for an answer of so many bytes to the current request, besides
    /// its body; waits for it if others hold it. `none` if it was reserved.
    boost::asio::awaitable<error_kind> hold_answer(std::size_t bytes)
    {
        return place_.hold(request_bytes_ + bytes);
    }

    /// Whether such an answer may be held without a wait.
    [[nodiscard]] bool holds_answer(std::size_t bytes) const noexcept
    {
        return place_.holds(request_bytes_ + bytes);
    }

    /// Ends a wait of `hold_answer`.
    void cancel_hold()
    {
        place_.cancel_hold();
    }

    /// Sends a complete answer.
    boost::asio::awaitable<boost::system::error_code> send(caller_answer answer);

    /// Sends the head of an answer. The body follows with `write_body`; it is chunked if
    /// the head says so.
    boost::asio::awaitable<boost::system::error_code> send_head(answer_head head);

    /// Sends a piece of the body. Completes when the socket has accepted all of it, so
    /// that a slow caller slows down the exchange.
    boost::asio::awaitable<boost::system::error_code> write_body(std::string_view piece);

    /// Time for which the last `write_body` waited for the caller to read.
    [[nodiscard]] duration last_write_wait() const noexcept
    {
        return last_write_wait_;
    }

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
    /// `caller_limits::receive_timeout`. Returns the present time.
    time_point start_send_timeout()
    {
        return expire_after(context_->limits.receive_timeout);
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

    // Why a request was not received
    struct receive_failure
    {
        // Error of the connection or of the parser
        boost::system::error_code error;
        // Reason for which this host does not receive it; `none` if there is an error
        error_kind refusal = error_kind::none;

        [[nodiscard]] explicit operator bool() const noexcept
        {
            return error || refusal != error_kind::none;
        }
    };

    // Reads the head of a request
    boost::asio::awaitable<receive_failure> receive_head(parser_type& parser);

    // Reads the rest of a request
    boost::asio::awaitable<receive_failure> receive_body(parser_type& parser);

    // Reads the rest of a request, as fast as there is memory for it
    boost::asio::awaitable<receive_failure> receive_pieces(parser_type& parser);

    // Lets the buffer take a larger head, or trailer, once there is memory for it
    boost::asio::awaitable<error_kind> enlarge_buffer(std::size_t body_bytes);

    // Whether the buffer is full but may be enlarged
    [[nodiscard]] bool may_enlarge(boost::system::error_code error) const;

    // Sends a piece of the body; records for how long the caller made it wait
    template <class Buffers>
    boost::asio::awaitable<boost::system::error_code> write_piece(Buffers const& buffers);

    // Answers a request that is refused by its head; false if the connection is to be
    // closed, as the rest of the request would have to be read
    boost::asio::awaitable<bool> refuse(parser_type const& parser, caller_answer answer);

    // Answers a request that was not received
    boost::asio::awaitable<void> reject(receive_failure failure);

    // Sends the body of an answer piece by piece, so that its progress is known
    boost::asio::awaitable<boost::system::error_code>
    send_in_pieces(caller_answer& answer);

    // Ends the connection, or what it receives, because its place or memory is needed
    void on_evicted(budget_event event);

    // Reads and discards what the caller still sends: closing a socket with unread bytes
    // resets the connection, and the caller could lose the answer
    boost::asio::awaitable<void> discard_input();

    // Sets the time limit after which `close_if_expired` closes the connection; returns
    // the present time
    time_point expire_after(duration time_left);

    // Sets the header fields that all answers have
    void set_common_fields(boost::beast::http::fields& fields) const;

    // Starts waiting for the caller to close its connection
    void arm_watch();

    boost::asio::ip::tcp::socket socket_;
    // Place in the host's resource budget
    resource_place place_;
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
    // When the current request began
    time_point begun_;
    // Time for which the last `write_body` waited for the caller
    duration last_write_wait_{0};
    // Memory that the current request takes, in bytes
    std::size_t request_bytes_ = 0;
    // Whether the connection stays open after the current answer
    bool keep_alive_ = true;
    // Whether the connection only got a place so that its request is refused
    bool refuse_only_ = false;
    // Whether a request is being received
    bool receiving_ = false;
    // Whether that took too long, or others need its memory
    bool timed_out_ = false;
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
