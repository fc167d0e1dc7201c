#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// A complete HTTP answer to a caller.
using caller_answer = boost::beast::http::response<boost::beast::http::string_body>;

/// Contents of an error answer.
struct error_reply_options
{
    /// Kind of the error; determines the HTTP status and the outcome.
    error_kind kind = error_kind::internal;
    /// Message for the caller; if empty, the default message of the kind.
    std::string_view message = {};
    /// Suggested time before a retry; used only for kinds whose answer carries
    /// `Retry-After`.
    duration retry_after{0};
};

/// Formats an error as a JSON document.
std::string error_document(error_reply_options const& options);

/// Makes the HTTP answer that reports an error to a caller.
caller_answer make_error_reply(error_reply_options const& options);

/// Formats the server-sent event that ends a stream which fails after its first byte.
std::string error_event(error_reply_options const& options);

} // namespace marjorampath::serving
