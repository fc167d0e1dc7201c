#include <serving/endpoint/answer_reader.hpp>
#include <serving/endpoint/pooled_fetch.hpp>
#include <serving/host_list/host_entry.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Sends the request and reads the answer; `reusable` tells whether the connection can be
// returned to the pool
asio::awaitable<void> exchange(endpoint_connection connection,
                               http::request<http::string_body> const& request,
                               std::size_t max_body_bytes, pooled_fetch_result& result,
                               bool& reusable)
{
    result.sent = true;
    auto& error = result.error;
    co_await http::async_write(*connection, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    answer_reader reader(connection);
    error = co_await reader.read_head();
    if (!error)
        error = co_await reader.read_rest(result.body, max_body_bytes);
    if (error)
        co_return;
    result.status = reader.get_head().result_int();
    reusable = reader.keep_alive();
}

} // namespace

asio::awaitable<pooled_fetch_result>
pooled_fetch(connection_pool& pool, directory_entry endpoint,
             http::request<http::string_body> request, http_fetch_options options)
{
    pooled_fetch_result result;
    request.set(http::field::host, format_address(endpoint.address));
    request.prepare_payload();

    // At the timeout, closing the connection cancels the connect, write or read in
    // progress
    auto connection = options.new_connection ? nullptr : pool.take_idle(endpoint);
    auto const is_pooled = connection != nullptr;
    if (!is_pooled)
        connection = pool.make_socket();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    auto const timer_active = std::make_shared<bool>(true);
    timer.expires_after(options.timeout);
    timer.async_wait(
        [connection, timer_active](error_code error)
        {
            error_code ignored;
            if (!error && *timer_active)
                connection->close(ignored);
        });

    auto reusable = false;
    if (!is_pooled)
        result.error = co_await connection_pool::connect(connection, endpoint.address);
    if (!result.error)
        co_await exchange(connection, request, options.max_body_bytes, result, reusable);
    *timer_active = false;
    if (reusable && !result.error && connection->is_open())
        pool.put_back(endpoint, std::move(connection));
    co_return result;
}

} // namespace marjorampath::serving
