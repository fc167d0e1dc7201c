#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <array>
#include <sys/socket.h>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Longest time that a rejected caller's remaining bytes are read
constexpr auto linger_time = std::chrono::seconds(1);
// Head that asks a caller for its body
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

error_kind kind_of_read_error(error_code error)
{
    if (error == http::error::header_limit)
        return error_kind::head_too_large;
    if (error == http::error::body_limit)
        return error_kind::body_too_large;
    return error_kind::malformed_request;
}

} // namespace

caller_session::caller_session(tcp::socket socket, caller_context& context)
    : socket_(std::move(socket)), context_(&context)
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

asio::awaitable<void> caller_session::run()
{
    while (co_await wait_for_request())
    {
        busy_ = true;
        auto const kept = co_await serve_request();
        expires_ = never;
        busy_ = false;
        if (!kept || stopping_)
            break;
    }
    expires_ = never;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void caller_session::stop()
{
    stopping_ = true;
    if (busy_)
        return;
    error_code ignored;
    socket_.close(ignored);
}

void caller_session::expire_after(duration time_left)
{
    expires_ = boot_now() + time_left;
}

void caller_session::close_if_expired(time_point now)
{
    error_code ignored;
    if (now >= expires_)
        socket_.close(ignored);
}

asio::awaitable<bool> caller_session::wait_for_request()
{
    if (buffer_.size() > 0)
        co_return true;

    // A connection that waits holds no buffer
    buffer_ = boost::beast::flat_buffer();
    request_name_ = std::string();
    expire_after(context_->limits.idle_timeout);
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> caller_session::serve_request()
{
    keep_alive_ = true;
    request_name_ = fmt::format("{:016x}", context_->next_request_id().number());
    expire_after(context_->limits.receive_timeout);

    parser_type parser;
    parser.header_limit(context_->limits.max_head_bytes);
    parser.body_limit(context_->limits.max_body_bytes);
    auto const error = co_await receive(parser);
    expires_ = never;
    if (error)
    {
        co_await reject(error);
        co_return false;
    }

    auto const message = parser.release();
    version_ = message.version();
    keep_alive_ = message.keep_alive() && !context_->stopping;
    co_await context_->answer(*this, message);
    co_return keep_alive_;
}

asio::awaitable<error_code> caller_session::receive(parser_type& parser)
{
    error_code error;
    co_await http::async_read_header(socket_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return error;

    auto const expectation = parser.get()[http::field::expect];
    if (boost::beast::iequals(expectation, "100-continue"))
    {
        co_await asio::async_write(socket_, asio::buffer(continue_head),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error;
    }
    co_await http::async_read(socket_, buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<void> caller_session::reject(error_code error)
{
    // Errors of the connection need no answer
    auto const& category = make_error_code(http::error::bad_method).category();
    if (error.category() != category || error == http::error::end_of_stream ||
        error == http::error::partial_message)
        co_return;

    keep_alive_ = false;
    auto const message = error.message();
    auto const kind = kind_of_read_error(error);
    auto reply = make_error_reply({.kind = kind, .message = {}});
    if (kind == error_kind::malformed_request)
        reply = make_error_reply({.kind = kind, .message = message});
    auto const failed = co_await send(std::move(reply));
    if (!failed)
        co_await linger();
}

asio::awaitable<void> caller_session::linger()
{
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    expire_after(linger_time);
    std::array<char, 4'096> dropped{};
    while (!error)
        co_await socket_.async_read_some(
            asio::buffer(dropped), asio::redirect_error(asio::use_awaitable, error));
}

void caller_session::set_common_fields(http::fields& fields) const
{
    fields.set("X-Request-Id", request_name_);
    if (!keep_alive_)
        fields.set(http::field::connection, "close");
    else if (version_ == 10)
        fields.set(http::field::connection, "keep-alive");
}

asio::awaitable<error_code> caller_session::send(caller_answer answer)
{
    set_common_fields(answer);
    answer.prepare_payload();
    start_send_timeout();
    error_code error;
    writing_ = true;
    co_await http::async_write(socket_, answer,
                               asio::redirect_error(asio::use_awaitable, error));
    writing_ = false;
    if (error)
        keep_alive_ = false;
    co_return error;
}

asio::awaitable<error_code> caller_session::begin(answer_head head)
{
    set_common_fields(head);
    chunked_ = head.chunked();
    error_code error;
    http::response_serializer<http::empty_body> serializer(head);
    writing_ = true;
    co_await http::async_write_header(socket_, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    writing_ = false;
    if (error)
        keep_alive_ = false;
    co_return error;
}

asio::awaitable<error_code> caller_session::write(std::string_view piece)
{
    error_code error;
    if (piece.empty())
        co_return error;
    asio::const_buffer const bytes(piece.data(), piece.size());
    writing_ = true;
    if (chunked_)
        co_await asio::async_write(socket_, http::make_chunk(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
    else
        co_await asio::async_write(socket_, bytes,
                                   asio::redirect_error(asio::use_awaitable, error));
    writing_ = false;
    if (error)
        keep_alive_ = false;
    co_return error;
}

asio::awaitable<error_code> caller_session::finish()
{
    error_code error;
    if (!chunked_)
        co_return error;
    writing_ = true;
    co_await asio::async_write(socket_, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, error));
    writing_ = false;
    if (error)
        keep_alive_ = false;
    co_return error;
}

void caller_session::watch(std::function<void()> gone)
{
    gone_ = std::move(gone);
    ++watch_number_;
    arm_watch();
}

void caller_session::unwatch()
{
    gone_ = nullptr;
    ++watch_number_;
}

void caller_session::arm_watch()
{
    // A caller that sent its next request already is not watched
    if (buffer_.size() > 0)
        return;
    socket_.async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this(), number = watch_number_](error_code error)
        {
            auto const self = weak.lock();
            if (error || !self || !self->gone_ || self->watch_number_ != number)
                return;
            char byte = 0;
            auto const received =
                ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            auto const open = received > 0 || (received < 0 && errno == EAGAIN);
            if (!open)
                std::exchange(self->gone_, nullptr)();
        });
}

void caller_session::cancel_write()
{
    error_code ignored;
    if (writing_)
        socket_.cancel(ignored);
}

} // namespace marjorampath::serving
