#pragma once

#include <marjorampath/trace/replay_result.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>

namespace marjorampath::serving
{

/// The largest answer that is read, in bytes.
inline constexpr std::size_t max_exchange_bytes = 64'000'000;

/// Sends one request on a connection of its own and reads the whole answer. Never fails:
/// an answer that did not come has status zero, one that was cut is not complete.
/// The text of a streamed answer is that of its events; it is complete only after
/// `[DONE]`.
boost::asio::awaitable<replay_attempt>
exchange(boost::asio::ip::tcp::endpoint target,
         boost::beast::http::request<boost::beast::http::string_body> request,
         std::chrono::milliseconds timeout);

} // namespace marjorampath::serving
