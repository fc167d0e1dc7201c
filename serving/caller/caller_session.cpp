#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/remote/receive_buffer.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
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
// Bytes of a request's body that are read at once; more of a large body
constexpr std::size_t read_ahead_bytes = 4'096;
constexpr std::size_t large_body_read_bytes = 16'384;
// Heads of ordinary requests fit into a buffer of this size
constexpr std::size_t small_buffer_bytes = 4'096;
// Memory that a large head takes, as a multiple of its size: it is buffered, parsed, and
// copied for the endpoint
constexpr std::size_t head_copies = 3;
// Bytes of an answer that are sent at once
constexpr std::size_t send_piece_bytes = 65'536;
// Retry-After value in the answer to a request for which the host has no room
constexpr auto full_retry_pause = std::chrono::seconds(1);
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

bool caller_session::open_place()
{
    auto const admitted = place_.open(context_->resources, context_->of,
                                      [this](budget_event event) { on_evicted(event); });
    refuse_only_ = admitted == admission::refuse_only;
    return admitted != admission::rejected;
}

void caller_session::on_evicted(budget_event event)
{
    error_code ignored;
    if (event == budget_event::evicted_stalled && receiving_)
    {
        timed_out_ = true;
        socket_.cancel(ignored);
        return;
    }
    socket_.close(ignored);
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
    place_.close();
}

void caller_session::stop()
{
    stopping_ = true;
    if (busy_)
        return;
    error_code ignored;
    socket_.close(ignored);
}

time_point caller_session::expire_after(duration time_left)
{
    auto const now = boot_now();
    expires_at_ = now + time_left;
    return now;
}

void caller_session::close_if_expired(time_point now)
{
    error_code ignored;
    if (now < expires_at_)
        return;
    if (!receiving_)
    {
        socket_.close(ignored);
        return;
    }
    timed_out_ = true;
    place_.cancel_hold();
    socket_.cancel(ignored);
}

asio::awaitable<bool> caller_session::wait_for_request()
{
    place_.on_idle(expire_after(context_->limits.idle_timeout));
    request_bytes_ = 0;
    if (buffer_.size() > 0)
        co_return true;

    // Free the buffers: an idle connection holds none
    buffer_ = boost::beast::flat_buffer();
    request_name_ = std::string();
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> caller_session::serve_request()
{
    keep_alive_ = true;
    request_name_ = fmt::format("{:016x}", context_->next_request_id().number());
    begun_ = expire_after(context_->limits.head_timeout);

    // Destroyed before a failure is answered, so that nobody waits for the memory of a
    // request that is given up
    std::optional<parser_type> parser(std::in_place);
    parser->header_limit(context_->limits.max_head_bytes);
    parser->body_limit(context_->limits.max_body_bytes);
    receiving_ = true;
    timed_out_ = false;
    auto failure = co_await receive_head(*parser);
    if (!failure && refuse_only_)
        failure.refusal = error_kind::host_full;
    if (!failure && context_->refuse_head)
        if (auto refusal = context_->refuse_head(parser->get()))
            co_return co_await refuse(*parser, std::move(*refusal));
    if (!failure)
        failure = co_await receive_body(*parser);
    receiving_ = false;
    expires_at_ = never;
    if (failure)
    {
        version_ = parser->get().version();
        parser.reset();
        co_await reject(failure);
        co_return false;
    }

    auto const message = parser->release();
    parser.reset();
    request_bytes_ += message.body().size();
    place_.on_working(begun_);
    version_ = message.version();
    keep_alive_ = message.keep_alive() && !context_->stopping;
    co_await context_->handle_request(*this, message);
    co_return keep_alive_;
}

asio::awaitable<caller_session::receive_failure>
caller_session::receive_head(parser_type& parser)
{
    error_code error;
    buffer_.max_size(std::max(buffer_.size(), small_buffer_bytes));
    co_await http::async_read_header(socket_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    while (may_enlarge(error))
    {
        if (auto const refusal = co_await enlarge_buffer(0); refusal != error_kind::none)
            co_return receive_failure{.refusal = refusal};
        error = {};
        co_await http::async_read_header(
            socket_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return receive_failure{.error = error};
}

bool caller_session::may_enlarge(error_code error) const
{
    return error == http::error::buffer_overflow &&
           buffer_.max_size() < context_->limits.max_head_bytes + read_ahead_bytes;
}

asio::awaitable<error_kind> caller_session::enlarge_buffer(std::size_t body_bytes)
{
    auto const most = context_->limits.max_head_bytes + read_ahead_bytes;
    auto const size = std::min(most, 2 * buffer_.max_size());
    request_bytes_ = head_copies * size;
    auto const refusal = co_await place_.hold(request_bytes_ + body_bytes);
    buffer_.max_size(std::max(buffer_.size(), size));
    co_return refusal == error_kind::none ? refusal : error_kind::host_full;
}

asio::awaitable<bool> caller_session::refuse(parser_type const& parser,
                                             caller_answer answer)
{
    receiving_ = false;
    version_ = parser.get().version();
    keep_alive_ = parser.is_done() && parser.get().keep_alive() && !context_->stopping;
    auto const failed = co_await send(std::move(answer));
    expires_at_ = never;
    if (!failed && !parser.is_done())
        co_await discard_input();
    co_return keep_alive_;
}

asio::awaitable<caller_session::receive_failure>
caller_session::receive_body(parser_type& parser)
{
    error_code error;
    auto const expectation = parser.get()[http::field::expect];
    if (boost::beast::iequals(expectation, "100-continue"))
    {
        co_await asio::async_write(socket_, asio::buffer(continue_answer),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return receive_failure{.error = error};
    }
    parser.eager(true);
    if (!parser.is_done())
        place_.on_receiving(expire_after(context_->limits.receive_timeout));
    co_return co_await receive_pieces(parser);
}

asio::awaitable<caller_session::receive_failure>
caller_session::receive_pieces(parser_type& parser)
{
    error_code error;
    while (!error && !parser.is_done())
    {
        auto const size = parser.get().body().size();
        auto const read_ahead =
            size < read_ahead_bytes ? read_ahead_bytes : large_body_read_bytes;
        auto const body_bytes = size + read_ahead;
        if (!place_.holds(request_bytes_ + body_bytes))
        {
            auto const refusal = co_await place_.hold(request_bytes_ + body_bytes);
            if (refusal != error_kind::none)
                co_return receive_failure{.refusal = refusal};
        }
        buffer_.max_size(std::max(buffer_.max_size(), read_ahead));
        auto const received = co_await http::async_read_some(
            socket_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
        if (!parser.is_done())
            place_.on_progress(received, boot_now());

        // A line between chunks, or the trailer, may be as large as a head
        if (may_enlarge(error))
        {
            error = {};
            auto const refusal = co_await enlarge_buffer(body_bytes);
            if (refusal != error_kind::none)
                co_return receive_failure{.refusal = refusal};
        }
    }
    co_return receive_failure{.error = error};
}

asio::awaitable<void> caller_session::reject(receive_failure failure)
{
    auto kind = failure.refusal;
    auto const error = failure.error;
    if (timed_out_)
        kind = error_kind::request_timeout;

    // Only parse errors are answered; after a connection error nobody reads an answer
    auto const& category = make_error_code(http::error::bad_method).category();
    if (kind == error_kind::none &&
        (error.category() != category || error == http::error::end_of_stream ||
         error == http::error::partial_message))
        co_return;

    keep_alive_ = false;
    place_.on_idle(boot_now());
    auto const message = error.message();
    if (is_limit_error(error))
        log_event(event::request_limit_exceeded, "request", request_name_, "limit",
                  message);
    if (kind == error_kind::none)
        kind = kind_of_read_error(error);
    auto reply =
        make_error_reply({.kind = kind, .message = {}, .retry_after = full_retry_pause});
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
    place_.on_idle(expire_after(discard_timeout));
    std::array<char, 4'096> discarded{};
    std::size_t size = 0;
    while (!error && place_.take_discard(size, boot_now()))
        size = co_await socket_.async_read_some(
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
    place_.on_sending(false, start_send_timeout());
    error_code error;
    writing_ = true;
    if (answer.body().size() > send_piece_bytes)
        error = co_await send_in_pieces(answer);
    else
        co_await http::async_write(socket_, answer,
                                   asio::redirect_error(asio::use_awaitable, error));
    writing_ = false;
    if (error)
        keep_alive_ = false;
    co_return error;
}

asio::awaitable<error_code> caller_session::send_in_pieces(caller_answer& answer)
{
    error_code error;
    http::response_serializer<caller_answer::body_type> serializer(answer);
    co_await http::async_write_header(socket_, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    std::string_view rest = answer.body();
    while (!error && !rest.empty())
    {
        auto const piece = rest.substr(0, send_piece_bytes);
        auto const size =
            co_await asio::async_write(socket_, asio::buffer(piece.data(), piece.size()),
                                       asio::redirect_error(asio::use_awaitable, error));
        place_.on_progress(size, boot_now());
        rest.remove_prefix(piece.size());
    }
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

template <class Buffers>
asio::awaitable<error_code> caller_session::write_piece(Buffers const& buffers)
{
    // Most callers keep up with their streams
    error_code error;
    last_write_wait_ = {};
    boost::beast::buffers_suffix<Buffers> rest(buffers);
    rest.consume(socket_.write_some(rest, error));
    if (error == asio::error::would_block)
        error = {};
    if (error || boost::beast::buffer_bytes(rest) == 0)
        co_return error;

    auto const begin = boot_now();
    place_.on_sending(true, begin);
    writing_ = true;
    co_await asio::async_write(socket_, rest,
                               asio::redirect_error(asio::use_awaitable, error));
    writing_ = false;
    place_.on_working(begun_);
    last_write_wait_ = boot_now() - begin;
    co_return error;
}

asio::awaitable<error_code> caller_session::write_body(std::string_view piece)
{
    error_code error;
    if (piece.empty())
        co_return error;
    asio::const_buffer const bytes(piece.data(), piece.size());
    if (chunked_)
        error = co_await write_piece(http::make_chunk(bytes));
    else
        error = co_await write_piece(bytes);
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
