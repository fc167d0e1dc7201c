#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/remote/receive_buffer.hpp>
#include <serving/telemetry/log.hpp>

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

// How long the remaining bytes of a rejected request are read and discarded
constexpr auto discard_timeout = std::chrono::seconds(1);
// Bytes of a request's body that are read at once
constexpr std::size_t read_ahead_bytes = 4'096;
// Interim answer upon which a caller that sent `Expect: 100-continue` sends the body
constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";

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
        auto const keep_open = co_await serve_request();
        expires_at_ = never;
        busy_ = false;
        if (!keep_open || stopping_)
            break;
    }
    expires_at_ = never;
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
    expires_at_ = boot_now() + time_left;
}

void caller_session::close_if_expired(time_point now)
{
    error_code ignored;
    if (now >= expires_at_)
        socket_.close(ignored);
}

asio::awaitable<bool> caller_session::wait_for_request()
{
    if (buffer_.size() > 0)
        co_return true;

    // Free the buffers: an idle connection holds none
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
    limit_unparsed(buffer_, context_->limits.max_head_bytes, read_ahead_bytes);
    auto error = co_await receive_head(parser);
    if (!error && context_->refuse_head)
        if (auto refusal = context_->refuse_head(parser.get()))
            co_return co_await refuse(parser, std::move(*refusal));
    if (!error)
        error = co_await receive_body(parser);
    expires_at_ = never;
    if (error)
    {
        co_await reject(error);
        co_return false;
    }

    auto const message = parser.release();
    version_ = message.version();
    keep_alive_ = message.keep_alive() && !context_->stopping;
    co_await context_->handle_request(*this, message);
    co_return keep_alive_;
}

asio::awaitable<error_code> caller_session::receive_head(parser_type& parser)
{
    error_code error;
    co_await http::async_read_header(socket_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<bool> caller_session::refuse(parser_type const& parser,
                                             caller_answer answer)
{
    version_ = parser.get().version();
    keep_alive_ = parser.is_done() && parser.get().keep_alive() && !context_->stopping;
    auto const failed = co_await send(std::move(answer));
    expires_at_ = never;
    if (!failed && !parser.is_done())
        co_await discard_input();
    co_return keep_alive_;
}

asio::awaitable<error_code> caller_session::receive_body(parser_type& parser)
{
    error_code error;
    auto const expectation = parser.get()[http::field::expect];
    if (boost::beast::iequals(expectation, "100-continue"))
    {
        co_await asio::async_write(socket_, asio::buffer(continue_answer),
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
    // Only parse errors are answered; after a connection error nobody reads an answer
    auto const& category = make_error_code(http::error::bad_method).category();
    if (error.category() != category || error == http::error::end_of_stream ||
        error == http::error::partial_message)
        co_return;

    keep_alive_ = false;
    auto const message = error.message();
    if (is_limit_error(error))
        log_event(event::request_limit_exceeded, "request", request_name_, "limit",
                  message);
    auto const kind = kind_of_read_error(error);
    auto reply = make_error_reply({.kind = kind, .message = {}});
    if (kind == error_kind::malformed_request)
        reply = make_error_reply({.kind = kind, .message = message});
    auto const failed = co_await send(std::move(reply));
    if (!failed)
        co_await discard_input();
}

asio::awaitable<void> caller_session::discard_input()
{
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    expire_after(discard_timeout);
    std::array<char, 4'096> discarded{};
    while (!error)
        co_await socket_.async_read_some(
            asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
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

asio::awaitable<error_code> caller_session::send_head(answer_head head)
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

asio::awaitable<error_code> caller_session::write_body(std::string_view piece)
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

asio::awaitable<error_code> caller_session::finish_body()
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

void caller_session::watch_disconnect(std::function<void()> on_disconnect)
{
    on_disconnect_ = std::move(on_disconnect);
    ++watch_generation_;
    arm_watch();
}

void caller_session::unwatch_disconnect()
{
    on_disconnect_ = nullptr;
    ++watch_generation_;
}

void caller_session::arm_watch()
{
    // Not watched if bytes of the caller's next request were received already
    if (buffer_.size() > 0)
        return;
    socket_.async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this(), generation = watch_generation_](error_code error)
        {
            auto const self = weak.lock();
            if (error || !self || !self->on_disconnect_ ||
                self->watch_generation_ != generation)
                return;
            char byte = 0;
            auto const received =
                ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            auto const open = received > 0 || (received < 0 && errno == EAGAIN);
            if (!open)
                std::exchange(self->on_disconnect_, nullptr)();
        });
}

void caller_session::cancel_write()
{
    error_code ignored;
    if (writing_)
        socket_.cancel(ignored);
}

} // namespace marjorampath::serving
