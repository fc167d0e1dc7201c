#pragma once

#include <marjorampath/core/time.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>

namespace marjorampath::serving
{

/// Bounds of one exchange.
struct http_fetch_options
{
    /// Time after which the exchange fails.
    duration timeout = std::chrono::seconds(5);
    /// Largest body of the answer, in bytes.
    std::size_t max_body_bytes = 4'000'000;
};

/// The answer, or the error that prevented one.
struct http_fetch_result
{
    /// Error of the connection or of the answer's format.
    boost::system::error_code error;
    /// Valid where `error` is not set.
    boost::beast::http::response<boost::beast::http::string_body> answer;
};

/// Sends one request over a connection of its own and reads the answer whole. Meant for
/// the control side, where requests are few.
boost::asio::awaitable<http_fetch_result>
http_fetch(boost::asio::ip::tcp::endpoint address,
           boost::beast::http::request<boost::beast::http::string_body> request,
           http_fetch_options options);

} // namespace marjorampath::serving
