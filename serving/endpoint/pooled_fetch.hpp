#pragma once

#include <serving/endpoint/connection_pool.hpp>
#include <serving/endpoint/http_fetch.hpp>

namespace marjorampath::serving
{

/// Result of `pooled_fetch`.
struct pooled_fetch_result
{
    /// Connection error, timeout or malformed answer.
    boost::system::error_code error;
    /// Whether any byte of the request may have reached the endpoint.
    bool sent = false;
    /// HTTP status of the answer; valid if `error` is not set.
    unsigned status = 0;
    /// Body of the answer; valid if `error` is not set.
    std::string body;
};

/// Sends one request to an endpoint over an idle connection of the pool, or over a new
/// one if there is none, and reads the complete answer. The pool must outlive the call.
boost::asio::awaitable<pooled_fetch_result>
pooled_fetch(connection_pool& pool, directory_entry endpoint,
             boost::beast::http::request<boost::beast::http::string_body> request,
             http_fetch_options options);

} // namespace marjorampath::serving
