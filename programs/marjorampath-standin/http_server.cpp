#include <programs/marjorampath-standin/http_server.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/url/encoding_opts.hpp>
#include <boost/url/parse_query.hpp>
#include <boost/url/pct_string_view.hpp>

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <stdexcept>

namespace marjorampath::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace
{

// Maximum size of a request body, in bytes
constexpr std::uint64_t max_body_bytes = 16'777'216;

// Decodes percent-encoded text; throws std::exception if an escape is invalid
std::string decode(std::string_view text, bool plus_is_blank)
{
    boost::urls::encoding_opts options;
    options.space_as_plus = plus_is_blank;
    return boost::urls::pct_string_view(
               boost::urls::string_view(text.data(), text.size()))
        .decode(options);
}

} // namespace

http_exchange::http_exchange(beast::tcp_stream& stream, request_type request)
    : stream_(stream), request_(std::move(request)), reusable_(request_.keep_alive())
{
}

std::string http_exchange::path() const
{
    std::string_view const target(request_.target().data(), request_.target().size());
    return decode(target.substr(0, target.find('?')), false);
}

std::string http_exchange::query(std::string_view name) const
{
    std::string_view const target(request_.target().data(), request_.target().size());
    auto const start = target.find('?');
    if (start == std::string_view::npos)
        return {};
    auto rest = target.substr(start + 1);
    if (rest.find(';') != std::string_view::npos ||
        !boost::urls::parse_query(boost::urls::string_view(rest.data(), rest.size())))
        throw std::invalid_argument("invalid query " + std::string(rest));

    while (!rest.empty())
    {
        auto const pair = rest.substr(0, rest.find('&'));
        auto const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return decode(pair.substr(equals + 1), true);
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

std::string http_exchange::header(std::string_view name) const
{
    auto const value = request_[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

void http_exchange::add_header(std::string name, std::string value)
{
    headers_.emplace_back(std::move(name), std::move(value));
}

asio::awaitable<void> http_exchange::reply(unsigned status, std::string body)
{
    http::response<http::string_body> answer(static_cast<http::status>(status), 11);
    answer.set(http::field::content_type, "application/json");
    for (auto const& [name, value] : headers_)
        answer.set(name, value);
    answer.keep_alive(reusable_);
    answer.body() = std::move(body);
    answer.prepare_payload();

    boost::system::error_code error;
    co_await http::async_write(stream_, answer,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        drop();
}

asio::awaitable<bool> http_exchange::start_events()
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (auto const& [name, value] : headers_)
        head += fmt::format("{}: {}\r\n", name, value);
    head += "\r\n";

    boost::system::error_code error;
    auto const buffer = asio::buffer(head);
    co_await asio::async_write(stream_, buffer,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        drop();
    co_return !error;
}

asio::awaitable<bool> http_exchange::write_events(std::string const& text)
{
    auto const chunk = fmt::format("{:x}\r\n{}\r\n", text.size(), text);
    boost::system::error_code error;
    auto const buffer = asio::buffer(chunk);
    co_await asio::async_write(stream_, buffer,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        drop();
    co_return !error;
}

asio::awaitable<void> http_exchange::finish_events()
{
    static constexpr std::string_view last_chunk = "0\r\n\r\n";
    boost::system::error_code error;
    auto const buffer = asio::buffer(last_chunk);
    co_await asio::async_write(stream_, buffer,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        drop();
}

void http_exchange::drop()
{
    reusable_ = false;
    stream_.close();
}

void http_exchange::on_disconnect(std::function<void()> handler)
{
    disconnect_handler_ = std::make_shared<std::function<void()>>(std::move(handler));
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [weak = std::weak_ptr(disconnect_handler_), this](boost::system::error_code error)
        {
            auto const on_closed = weak.lock();
            if (error || !on_closed)
                return;
            // Readable without data means that the peer has closed the connection
            boost::system::error_code ignored;
            if (stream_.socket().available(ignored) == 0)
                (*on_closed)();
        });
}

void http_exchange::cancel_disconnect_wait()
{
    disconnect_handler_.reset();
    boost::system::error_code ignored;
    if (stream_.socket().is_open())
        stream_.socket().cancel(ignored);
}

http_server::http_server(asio::io_context& context, tcp::endpoint const& address,
                         handler_type handler)
    : context_(context), acceptor_(context), address_(address),
      handler_(std::move(handler))
{
    listen();
}

void http_server::listen()
{
    acceptor_.open(address_.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(address_);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    address_ = acceptor_.local_endpoint();
}

void http_server::start()
{
    asio::co_spawn(context_, accept_loop(), asio::detached);
}

void http_server::stop()
{
    acceptor_.close();
    for (auto const& stream : connections_)
        stream->close();
}

void http_server::restart()
{
    listen();
    start();
}

asio::awaitable<void> http_server::accept_loop()
{
    while (true)
    {
        boost::system::error_code error;
        tcp::socket socket(context_);
        co_await acceptor_.async_accept(socket,
                                        asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
            co_return;
        if (error)
            continue;
        socket.set_option(tcp::no_delay(true), error);
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        asio::co_spawn(context_, serve(std::move(stream)), asio::detached);
    }
}

asio::awaitable<void> http_server::serve(std::shared_ptr<beast::tcp_stream> stream)
{
    connections_.insert(stream);
    beast::flat_buffer buffer;
    bool open = true;
    while (open)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        boost::system::error_code error;
        co_await http::async_read(*stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;

        http_exchange exchange(*stream, parser.release());
        bool failed = false;
        try
        {
            co_await handler_(exchange);
        }
        catch (std::exception const& problem)
        {
            failed = true;
            fmt::print(stderr, "request failed: {}\n", problem.what());
        }
        if (failed && exchange.reusable())
            co_await exchange.reply(400, "{}");
        exchange.cancel_disconnect_wait();
        open = exchange.reusable();
    }
    stream->close();
    connections_.erase(stream);
}

tcp::endpoint parse_listen_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    boost::system::error_code error;
    auto const address = asio::ip::make_address(text.substr(0, colon), error);
    unsigned long port = 0;
    if (!error && colon != std::string::npos)
        port = std::stoul(text.substr(colon + 1));
    if (error || colon == std::string::npos || port > 65'535)
        throw std::invalid_argument("not an address IP:PORT: " + text);
    return {address, static_cast<std::uint16_t>(port)};
}

void run_until_signal(asio::io_context& context, http_server& server)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    server.start();
    fmt::print("listening on {}:{}\n", server.address().address().to_string(),
               server.address().port());
    std::fflush(stdout);
    context.run();
}

} // namespace marjorampath::standin
