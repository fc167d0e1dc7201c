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

/// Maximum size of an answer body, in bytes; a larger one counts as not complete.
inline constexpr std::size_t max_exchange_bytes = 64'000'000;

/// Sends one request on a new connection and reads the complete answer. Network errors
/// are reported in the result: status zero if no answer arrived, not complete if the
/// answer was interrupted. The text of a streamed answer is the concatenated text of its
/// events; it is complete only after `[DONE]`.
boost::asio::awaitable<replay_attempt>
exchange(boost::asio::ip::tcp::endpoint target,
         boost::beast::http::request<boost::beast::http::string_body> request,
         std::chrono::milliseconds timeout);

} // namespace marjorampath::serving
