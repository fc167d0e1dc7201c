#pragma once

#include <marjorampath/core/time.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace marjorampath::serving
{

/// Limits of one exchange.
struct http_fetch_options
{
    /// Time within which the answer must begin.
    duration timeout = std::chrono::seconds(5);
    /// Time without any byte of the answer after which it fails once it has begun.
    std::chrono::milliseconds progress_timeout{500};
    /// Maximum size of the answer's body, in bytes.
    std::size_t max_body_bytes = 4'000'000;
    /// Whether idle connections of a pool are not used.
    bool new_connection = false;
    /// Header field by which answers to other requests are recognised on a connection of
    /// a pool; empty if none can arrive.
    std::string_view foreign_answer_field;
};

/// The answer, or the error that prevented it.
struct http_fetch_result
{
    /// Connection error, timeout or malformed answer.
    boost::system::error_code error;
    /// Bytes of the answer that were received.
    std::size_t received = 0;
    /// Valid if `error` is not set.
    boost::beast::http::response<boost::beast::http::string_body> answer;
};

/// Sends one request over a new connection and reads the complete answer. Intended for
/// control requests, which are few.
boost::asio::awaitable<http_fetch_result>
http_fetch(boost::asio::ip::tcp::endpoint address,
           boost::beast::http::request<boost::beast::http::string_body> request,
           http_fetch_options options);

} // namespace marjorampath::serving
