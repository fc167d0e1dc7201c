#include <serving/host_list/host_entry.hpp>
#include <serving/remote/http_reader.hpp>
#include <serving/remote/read_message.hpp>
#include <serving/remote/receive_buffer.hpp>
#include <serving/remote/remote_error.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace marjorampath::serving
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

// Maximum size of a response head
constexpr std::uint32_t max_head_bytes = 16'384;

// The error for a status; none for 200
std::error_code error_of_status(http::status status)
{
    switch (status)
    {
    case http::status::ok:
        return {};
    case http::status::not_found:
        return remote_error::not_found;
    case http::status::not_modified:
        return remote_error::not_modified;
    case http::status::gone:
        return remote_error::history_lost;
    case http::status::too_many_requests:
        return remote_error::rate_limited;
    default:
        return remote_error::unexpected_status;
    }
}

// A header with a number; empty if it is missing or not a number
std::optional<std::uint64_t> number_field(http::response<http::string_body> const& answer,
                                          std::string_view name)
{
    auto const text = answer[boost::core::string_view(name.data(), name.size())];
    std::uint64_t number = 0;
    auto const* end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc{} || read.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

http_reader::http_reader(asio::any_io_executor const& executor, options values)
    : options_(std::move(values)), stream_(executor)
{
}

void http_reader::close()
{
    connected_ = false;
    stream_.close();
}

asio::awaitable<boost::system::error_code> http_reader::connect()
{
    boost::system::error_code error;
    stream_.close();
    buffer_.clear();
    stream_.expires_after(options_.timeout);
    co_await stream_.async_connect(options_.server,
                                   asio::redirect_error(asio::use_awaitable, error));
    connected_ = !error;
    if (connected_)
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return error;
}

asio::awaitable<http_read_result> http_reader::exchange(std::string const& target,
                                                        std::chrono::milliseconds timeout)
{
    http_read_result result;
    boost::system::error_code error;

    http::request<http::empty_body> request{http::verb::get, target, 11};
    request.set(http::field::host, format_address(options_.server));
    stream_.expires_after(timeout);
    co_await http::async_write(stream_, request,
                               asio::redirect_error(asio::use_awaitable, error));

    // Read the answer, with limited head and body sizes
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_head_bytes);
    parser.body_limit(options_.max_body_bytes);
    limit_unparsed(buffer_, max_head_bytes, large_read_ahead_bytes);
    if (!error)
        result.received = co_await read_message(stream_, buffer_, parser, max_head_bytes,
                                                options_.timeout, error);
    if (error)
    {
        close();
        result.error = error;
        co_return result;
    }

    auto answer = parser.release();
    connected_ = answer.keep_alive();
    result.error = error_of_status(answer.result());
    result.revision = number_field(answer, "X-Revision").value_or(0);
    read_era(answer, result);
    result.body = std::move(answer.body());
    co_return result;
}

void http_reader::read_era(http::response<http::string_body> const& answer,
                           http_read_result& result) const
{
    auto const& name = options_.era_field;
    if (name.empty() || answer.find(name) == answer.end())
        return;
    auto const era = number_field(answer, name);
    if (!era && !result.error)
        result.error = remote_error::malformed;
    result.era = era.value_or(0);
}

asio::awaitable<http_read_result> http_reader::get(std::string target,
                                                   std::chrono::milliseconds extra_time)
{
    auto const timeout = options_.timeout + extra_time;

    // The server may have closed the idle connection; reconnect once in that case
    if (connected_)
    {
        auto result = co_await exchange(target, timeout);
        auto const& exchange_error = result.error;
        bool const was_closed =
            exchange_error ==
                std::error_code(boost::system::error_code(http::error::end_of_stream)) ||
            exchange_error == std::error_code(boost::system::error_code(
                                  asio::error::connection_reset)) ||
            exchange_error ==
                std::error_code(boost::system::error_code(asio::error::broken_pipe));
        if (!was_closed)
            co_return result;
    }

    auto const error = co_await connect();
    if (error)
    {
        http_read_result failed;
        failed.error = error;
        co_return failed;
    }
    co_return co_await exchange(target, timeout);
}

} // namespace marjorampath::serving
