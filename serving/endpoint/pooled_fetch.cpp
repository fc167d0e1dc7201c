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

// Whether an answer is to another request
bool is_foreign(answer_reader const& reader, std::string_view field)
{
    return !field.empty() && reader.get_head().count(boost::beast::string_view(
                                 field.data(), field.size())) > 0;
}

// Reads the answer, skipping answers to other requests
asio::awaitable<void> read_answer(endpoint_connection connection,
                                  http_fetch_options const& options,
                                  pooled_fetch_result& result, bool& reusable)
{
    std::string early;
    for (unsigned skipped = 0; skipped <= max_skipped_answers; ++skipped)
    {
        answer_reader reader(connection, std::move(early));
        result.body.clear();
        result.error = co_await reader.read_head();
        if (!result.error)
            result.error = co_await reader.read_rest(result.body, options.max_body_bytes);
        if (result.error)
            co_return;
        early = reader.take_unparsed();
        if (is_foreign(reader, options.foreign_answer_field))
            continue;
        result.status = reader.get_head().result_int();
        reusable = reader.keep_alive() && early.empty();
        co_return;
    }
    result.error = http::error::bad_status;
}

// Sends the request and reads the answer; `reusable` tells whether the connection can be
// returned to the pool
asio::awaitable<void> exchange(endpoint_connection connection,
                               http::request<http::string_body> const& request,
                               http_fetch_options const& options,
                               pooled_fetch_result& result, bool& reusable)
{
    result.sent = true;
    co_await http::async_write(*connection, request,
                               asio::redirect_error(asio::use_awaitable, result.error));
    if (!result.error)
        co_await read_answer(connection, options, result, reusable);
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
    // progress. The connection is reset, so that what was written but not yet delivered
    // is dropped: an order that was given up must not arrive later
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
            if (error || !*timer_active)
                return;
            error_code ignored;
            connection->set_option(asio::socket_base::linger(true, 0), ignored);
            connection->close(ignored);
        });

    auto reusable = false;
    if (!is_pooled)
        result.error = co_await connection_pool::connect(connection, endpoint.address);
    if (!result.error)
        co_await exchange(connection, request, options, result, reusable);
    *timer_active = false;
    if (reusable && !result.error && connection->is_open())
        pool.put_back(endpoint, std::move(connection));
    co_return result;
}

} // namespace marjorampath::serving
