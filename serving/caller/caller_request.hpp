#pragma once

#include <marjorampath/core/time.hpp>
#include <serving/caller/request_route.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// A request as it came from a caller.
using caller_message = boost::beast::http::request<boost::beast::http::string_body>;

/// What a caller's head says. Views into the message that it was read from.
struct caller_request
{
    /// The message.
    caller_message const* message = nullptr;
    /// What is asked for.
    request_route route;
    /// Time left, or nothing where the sheet's deadline holds.
    std::optional<duration> deadline;
    /// Higher goes first.
    std::int32_t priority = 0;
    /// The caller's idempotency key; empty for none.
    std::string_view idempotency_key;
};

/// Reads a caller's head. Returns nothing, and sets `problem` to a sentence for the
/// caller, where a header is malformed.
std::optional<caller_request> read_caller_request(caller_message const& message,
                                                  std::string& problem);

} // namespace marjorampath::serving
