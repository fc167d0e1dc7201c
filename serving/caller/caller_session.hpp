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

/// One connection of a caller: reads its requests one after another and carries their
/// answers. An idle connection holds no buffer.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    /// The head of an answer whose body follows in pieces.
    using answer_head = boost::beast::http::response<boost::beast::http::empty_body>;

    /// Takes over an accepted connection.
    caller_session(boost::asio::ip::tcp::socket socket, caller_context& context);

    /// Serves the connection until it ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection if no request is under way, else behind its answer.
    void stop();

    /// Closes the connection if it has been idle, or sending or taking a message, for
    /// longer than allowed.
    void close_if_expired(time_point now);

    /// Sends a whole answer.
    boost::asio::awaitable<boost::system::error_code> send(caller_answer answer);

    /// Sends a head. The body follows by `write`, in chunks where the head says so.
    boost::asio::awaitable<boost::system::error_code> begin(answer_head head);

    /// Sends a piece of a body. Waits while the caller reads slowly.
    boost::asio::awaitable<boost::system::error_code> write(std::string_view piece);

    /// Ends a body that is sent in chunks; without it the answer is recognisably cut.
    boost::asio::awaitable<boost::system::error_code> finish();

    /// The answer cannot be completed: the connection is closed behind what was sent.
    void cut() noexcept
    {
        keep_alive_ = false;
    }

    /// Closes the connection if what is left of the answer is not taken soon.
    void start_send_timeout()
    {
        expire_after(context_->limits.receive_timeout);
    }

    /// Calls a function once if the caller closes its connection; until `unwatch`.
    void watch(std::function<void()> gone);

    /// Ends the watch.
    void unwatch();

    /// Ends a write that is under way; it fails.
    void cancel_write();

    /// The identifier of the current request, as sent in X-Request-Id.
    [[nodiscard]] std::string const& request_name() const noexcept
    {
        return request_name_;
    }

    /// Whether the current request was made by HTTP/1.1, so that chunks are understood.
    [[nodiscard]] bool accepts_chunks() const noexcept
    {
        return version_ == 11;
    }

private:
    // Time of a connection that is not closed by itself
    static constexpr time_point never = time_point::max();

    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    // Waits for the first byte of a request; false where the connection ends
    boost::asio::awaitable<bool> wait_for_request();

    // Reads and answers one request; false where the connection ends
    boost::asio::awaitable<bool> serve_request();

    // Reads a request
    boost::asio::awaitable<boost::system::error_code> receive(parser_type& parser);

    // Answers a request that could not be read
    boost::asio::awaitable<void> reject(boost::system::error_code error);

    // Reads and drops what the caller still sends, so that it can read the answer
    boost::asio::awaitable<void> linger();

    // Lets the connection be closed when the time is over
    void expire_after(duration time_left);

    // Sets the fields that all answers have
    void set_common_fields(boost::beast::http::fields& fields) const;

    // Waits for the caller to close its connection
    void arm_watch();

    // Connection
    boost::asio::ip::tcp::socket socket_;
    // This thread
    caller_context* context_;
    // When the connection is closed
    time_point expires_ = never;
    // Bytes read beyond the current request
    boost::beast::flat_buffer buffer_;
    // Called when the caller is gone
    std::function<void()> gone_;
    // Identifier of the current request
    std::string request_name_;
    // HTTP version of the current request
    unsigned version_ = 11;
    // Number of the current watch
    unsigned watch_number_ = 0;
    // Whether the connection is kept behind the current answer
    bool keep_alive_ = true;
    // Whether a request is under way
    bool busy_ = false;
    // Whether the current body is sent in chunks
    bool chunked_ = false;
    // Whether a write is under way
    bool writing_ = false;
    // Whether the connection closes behind the current answer
    bool stopping_ = false;
};

} // namespace marjorampath::serving
