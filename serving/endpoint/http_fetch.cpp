#include <serving/endpoint/http_fetch.hpp>
#include <serving/host_list/host_entry.hpp>
#include <serving/remote/read_message.hpp>
#include <serving/remote/receive_buffer.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdint>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Maximum size of a response head
constexpr std::uint32_t max_head_bytes = 8'192;

} // namespace

asio::awaitable<http_fetch_result> http_fetch(asio::ip::tcp::endpoint address,
                                              http::request<http::string_body> request,
                                              http_fetch_options options)
{
    http_fetch_result result;
    auto const executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    stream.expires_after(options.timeout);

    auto& error = result.error;
    co_await stream.async_connect(address,
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return result;

    request.set(http::field::host, format_address(address));
    request.keep_alive(false);
    request.prepare_payload();
    co_await http::async_write(stream, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return result;

    beast::flat_buffer buffer;
    limit_unparsed(buffer, max_head_bytes, large_read_ahead_bytes);
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_head_bytes);
    parser.body_limit(options.max_body_bytes);
    result.received = co_await read_message(stream, buffer, parser, max_head_bytes,
                                            options.progress_timeout, error);
    if (!error)
        result.answer = parser.release();
    co_return result;
}

} // namespace marjorampath::serving
