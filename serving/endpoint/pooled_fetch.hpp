#pragma once

#include <serving/endpoint/connection_pool.hpp>
#include <serving/endpoint/http_fetch.hpp>

namespace marjorampath::serving
{

/// Sends one request to an endpoint over a kept connection, or a new one, and reads the
/// answer whole. `sent` tells whether the endpoint may have got the request.
struct pooled_fetch_result
{
    /// Error of the connection or of the answer's format.
    boost::system::error_code error;
    /// Whether bytes of the request may have reached the endpoint.
    bool sent = false;
    /// Status of the answer; valid where `error` is not set.
    unsigned status = 0;
    /// Body of the answer.
    std::string body;
};

/// Fetches; the pool outlives the call.
boost::asio::awaitable<pooled_fetch_result>
pooled_fetch(connection_pool& pool, directory_entry endpoint,
             boost::beast::http::request<boost::beast::http::string_body> request,
             http_fetch_options options);

} // namespace marjorampath::serving
