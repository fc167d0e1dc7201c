#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// A whole answer to a caller.
using caller_answer = boost::beast::http::response<boost::beast::http::string_body>;

/// What an error answer tells.
struct error_reply_options
{
    /// Kind of the error; it decides status and outcome.
    error_kind kind = error_kind::internal;
    /// Sentence for the caller; the kind's own sentence where it is empty.
    std::string_view message = {};
    /// Time after which asking again is worthwhile; used where the kind allows it.
    duration retry_after{0};
};

/// The JSON document of an error.
std::string error_document(error_reply_options const& options);

/// The answer that tells a caller of an error.
caller_answer make_error_reply(error_reply_options const& options);

/// The event that ends a stream which fails after its first byte.
std::string error_event(error_reply_options const& options);

} // namespace marjorampath::serving
