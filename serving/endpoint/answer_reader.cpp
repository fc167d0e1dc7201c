#include <serving/endpoint/answer_reader.hpp>
#include <serving/remote/answer_head.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <linux/sockios.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Whether the endpoint has reset a connection, or closed it before it received all that
// was written. Reading alone shows an orderly end if the reset follows it
bool is_broken(asio::ip::tcp::socket& socket)
{
    int failure = 0;
    socklen_t size = sizeof(failure);
    int unacknowledged = 0;
    auto const handle = socket.native_handle();
    return (::getsockopt(handle, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 &&
            failure != 0) ||
           (::ioctl(handle, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0);
}

} // namespace

answer_reader::answer_reader(endpoint_connection connection, std::string initial_bytes)
    : connection_(std::move(connection)), unparsed_(std::move(initial_bytes))
{
    parser_.header_limit(max_answer_head_bytes);
    parser_.body_limit(boost::none);
    parser_.eager(true);
}

error_code answer_reader::check_head()
{
    while (auto const size = find_head_end(unparsed_))
    {
        auto const check =
            check_answer_head(std::string_view(unparsed_).substr(0, *size));
        if (check.error)
            return check.error;
        if (!check.interim)
        {
            head_checked_ = true;
            return {};
        }
        unparsed_.erase(0, *size);
        if (++interim_answers_ > max_interim_answers)
            return http::error::header_limit;
    }
    if (unparsed_.size() > max_answer_head_bytes)
        return http::error::header_limit;
    return {};
}

error_code answer_reader::parse(std::string& output)
{
    if (!head_checked_)
    {
        auto const failed = check_head();
        if (failed || !head_checked_)
            return failed;
    }
    parser_.get().body().output = &output;
    error_code error;
    std::size_t parsed = 0;
    while (parsed < unparsed_.size() && !parser_.is_done())
    {
        auto const consumed = parser_.put(
            asio::buffer(unparsed_.data() + parsed, unparsed_.size() - parsed), error);
        parsed += consumed;
        if (error || consumed == 0)
            break;
    }
    if (error == http::error::need_more)
        error = {};
    unparsed_.erase(0, parsed);

    // The parser itself limits the head
    auto const is_between_chunks = parser_.is_header_done() && !parser_.is_done();
    if (!error && is_between_chunks && unparsed_.size() > max_chunk_line_bytes)
        error = http::error::buffer_overflow;
    return error;
}

asio::awaitable<error_code> answer_reader::read_and_parse(std::string& output)
{
    error_code error;
    auto const size = co_await connection_->async_read_some(
        asio::buffer(buffer_), asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::eof && parser_.is_header_done())
    {
        // The end of an answer that has no length, or of a truncated one (put_eof fails)
        if (!is_framed() && is_broken(*connection_))
            co_return asio::error::connection_reset;
        parser_.put_eof(error);
        co_return error ? error : error_code();
    }
    if (error)
        co_return error;

    got_some_ = true;
    unparsed_.append(buffer_.data(), size);
    co_return parse(output);
}

asio::awaitable<error_code> answer_reader::read_head()
{
    error_code error;
    got_some_ = !unparsed_.empty();
    if (got_some_)
        error = parse(buffered_body_);
    while (!error && !parser_.is_header_done())
        error = co_await read_and_parse(buffered_body_);
    co_return error;
}

asio::awaitable<error_code> answer_reader::read_some(std::string& output)
{
    if (!buffered_body_.empty())
    {
        output += buffered_body_;
        buffered_body_ = std::string();
        co_return error_code();
    }
    auto const before = output.size();
    error_code error;
    while (!error && !parser_.is_done() && output.size() == before)
        error = co_await read_and_parse(output);
    co_return error;
}

asio::awaitable<error_code> answer_reader::read_rest(std::string& output,
                                                     std::size_t limit)
{
    error_code error;
    while (!error && (!buffered_body_.empty() || !parser_.is_done()))
    {
        error = co_await read_some(output);
        if (output.size() > limit)
            error = http::error::body_limit;
    }
    co_return error;
}

} // namespace marjorampath::serving
