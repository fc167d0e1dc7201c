#pragma once

#include <marjorampath/core/time.hpp>
#include <serving/caller/request_route.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// A caller's HTTP request as it was received.
using caller_message = boost::beast::http::request<boost::beast::http::string_body>;

/// A request as it is sent on. Refers to the body of the caller's request, which must
/// outlive it.
using outgoing_message =
    boost::beast::http::request<boost::beast::http::span_body<char const>>;

/// The parsed head of a caller's request. Refers to the message that it was parsed from,
/// which must outlive it.
struct caller_request
{
    /// The message that this was parsed from; not owned.
    caller_message const* message = nullptr;
    /// Requested service and operation.
    request_route route;
    /// Time that the caller allows for the answer; unset if the deadline in the sheet
    /// applies.
    std::optional<duration> deadline;
    /// Scheduling priority; requests with a higher value run first.
    std::int32_t priority = 0;
    /// The caller's idempotency key; empty if there is none.
    std::string_view idempotency_key;
};

/// Parses the head of a caller's request. If a header is malformed, returns nothing and
/// sets `problem` to an error message for the caller.
std::optional<caller_request> read_caller_request(caller_message const& message,
                                                  std::string& problem);

} // namespace marjorampath::serving
