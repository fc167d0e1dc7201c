#include <serving/caller/error_reply.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace marjorampath::serving
{

namespace
{

namespace http = boost::beast::http;
namespace json = boost::json;

// Value of a Retry-After header, in seconds: rounded up, at least one
std::int64_t retry_after_seconds(duration retry_after) noexcept
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    return std::max<std::int64_t>(1, seconds);
}

} // namespace

std::string error_document(error_reply_options const& options)
{
    auto const& answer = answer_of(options.kind);
    auto const message = options.message.empty() ? answer.text : options.message;
    auto const outcome_name = to_string(answer.result);
    json::value const document{
        {"error",
         {{"kind", json::string_view(answer.name.data(), answer.name.size())},
          {"outcome", json::string_view(outcome_name.data(), outcome_name.size())},
          {"message", json::string_view(message.data(), message.size())}}}};
    return json::serialize(document);
}

caller_answer make_error_reply(error_reply_options const& options)
{
    auto const& answer = answer_of(options.kind);
    caller_answer reply(static_cast<http::status>(answer.http_status), 11);
    reply.set(http::field::content_type, "application/json");
    reply.set("X-Error-Kind", answer.name);
    reply.set("X-Outcome", to_string(answer.result));
    if (answer.retry_later)
        reply.set(http::field::retry_after,
                  fmt::to_string(retry_after_seconds(options.retry_after)));
    reply.body() = error_document(options);
    return reply;
}

std::string error_event(error_reply_options const& options)
{
    return fmt::format("event: error\ndata: {}\n\n", error_document(options));
}

} // namespace marjorampath::serving
