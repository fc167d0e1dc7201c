#pragma once

#include <marjorampath/core/time.hpp>
#include <serving/remote/answer_head.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marjorampath::serving
{

/// Bytes of a head that are read at once.
inline constexpr std::size_t head_read_bytes = 4'096;

/// Longest time for which a message is read, however steadily it arrives.
inline constexpr std::chrono::seconds max_message_time{10};

/// Reads an HTTP answer to its end, or until an error, and skips interim answers before
/// it. Fails if its head is invalid by `check_answer_head`. The stream's timeout holds
/// until the first bytes; from then on the answer fails when nothing arrives for
/// `progress_timeout`, so that a large one is not cut off on a slow link. Returns the
/// number of bytes that were received either way.
template <class Parser>
boost::asio::awaitable<std::size_t>
read_message(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
             Parser& parser, std::uint32_t max_head_bytes,
             std::chrono::milliseconds progress_timeout, boost::system::error_code& error)
{
    auto const end = std::chrono::steady_clock::now() + max_message_time;
    auto const extend = [&]
    {
        stream.expires_at(
            std::min(end, std::chrono::steady_clock::now() + progress_timeout));
    };
    std::size_t received = 0;
    unsigned interim_answers = 0;
    auto is_checked = false;
    while (!error && !is_checked)
    {
        std::string_view const bytes(static_cast<char const*>(buffer.data().data()),
                                     buffer.size());
        if (auto const size = find_head_end(bytes))
        {
            auto const check = check_answer_head(bytes.substr(0, *size));
            error = check.error;
            is_checked = !check.interim;
            if (check.interim)
                buffer.consume(*size);
            if (check.interim && ++interim_answers > max_interim_answers)
                error = boost::beast::http::error::header_limit;
            continue;
        }
        if (bytes.size() > max_head_bytes)
        {
            error = boost::beast::http::error::header_limit;
            continue;
        }
        auto const size = co_await stream.async_read_some(
            buffer.prepare(head_read_bytes),
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        buffer.commit(size);
        received += size;
        // The server closed the connection instead of answering
        if (error == boost::asio::error::eof && buffer.size() == 0)
            error = boost::beast::http::error::end_of_stream;
        extend();
    }
    while (!error && !parser.is_done())
    {
        received += co_await boost::beast::http::async_read_some(
            stream, buffer, parser,
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        extend();
    }
    co_return received;
}

} // namespace marjorampath::serving
