#include <serving/clock/boot_time.hpp>
#include <serving/remote/receive_buffer.hpp>
#include <serving/replay/http_exchange.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
// Maximum size of an answer's head
constexpr std::uint32_t max_head_bytes = 8'192;

double milliseconds_since(time_point start)
{
    return std::chrono::duration<double, std::milli>(boot_now() - start).count();
}

// The text of the first choice in an answer or event; empty if there is none
std::string choice_text(json::value const& value)
{
    auto const* object = value.if_object();
    auto const* choices = object ? object->if_contains("choices") : nullptr;
    if (!choices || !choices->is_array() || choices->get_array().empty())
        return {};

    // Completions have `text`; chat has `message` or, when streamed, `delta`
    auto const* choice = choices->get_array().front().if_object();
    if (!choice)
        return {};
    if (auto const* text = choice->if_contains("text"); text && text->is_string())
        return json::value_to<std::string>(*text);
    for (auto const* name : {"message", "delta"})
    {
        auto const* part = choice->if_contains(name);
        auto const* content = part && part->is_object()
                                  ? part->get_object().if_contains("content")
                                  : nullptr;
        if (content && content->is_string())
            return json::value_to<std::string>(*content);
    }
    return {};
}

// Concatenates the texts of server-sent events
void parse_events(std::string_view body, replay_attempt& attempt)
{
    constexpr std::string_view data = "data: ";
    bool done = false;
    std::string text;
    while (!body.empty())
    {
        auto const end = std::min(body.find('\n'), body.size());
        auto line = body.substr(0, end);
        body.remove_prefix(std::min(end + 1, body.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with(data))
            continue;
        line.remove_prefix(data.size());
        if (line == "[DONE]")
        {
            done = true;
            continue;
        }
        boost::system::error_code error;
        auto const value = json::parse({line.data(), line.size()}, error);
        if (!error)
            text += choice_text(value);
    }
    attempt.text = std::move(text);
    attempt.complete = attempt.complete && done;
}

void parse_answer(http::response<http::string_body> const& answer,
                  replay_attempt& attempt)
{
    attempt.status = answer.result_int();
    attempt.outcome = std::string(answer["X-Outcome"]);
    attempt.error_kind = std::string(answer["X-Error-Kind"]);
    attempt.request_id = std::string(answer["X-Request-Id"]);

    auto const type = answer[http::field::content_type];
    if (type.starts_with("text/event-stream"))
        return parse_events(answer.body(), attempt);

    boost::system::error_code error;
    auto const value = json::parse(answer.body(), error);
    attempt.text = error ? std::string() : choice_text(value);
    if (attempt.text.empty())
        attempt.text = answer.body();
}

} // namespace

asio::awaitable<replay_attempt> exchange(asio::ip::tcp::endpoint target,
                                         http::request<http::string_body> request,
                                         std::chrono::milliseconds timeout)
{
    replay_attempt attempt;
    auto const start = boot_now();
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);

    // Connect and send
    auto const [connect_error] = co_await stream.async_connect(target, as_result);
    if (connect_error)
        co_return attempt;
    auto const [write_error, written] =
        co_await http::async_write(stream, request, as_result);
    if (write_error)
        co_return attempt;

    // Read the head; its arrival counts as the first byte
    beast::flat_buffer buffer;
    limit_unparsed(buffer, max_head_bytes, large_read_ahead_bytes);
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_head_bytes);
    parser.body_limit(max_exchange_bytes);
    auto const [head_error, head_bytes] =
        co_await http::async_read_header(stream, buffer, parser, as_result);
    attempt.first_byte_ms = milliseconds_since(start);
    if (head_error)
        co_return attempt;

    // Read the body; an interrupted answer keeps the part that arrived
    auto const [body_error, body_bytes] =
        co_await http::async_read(stream, buffer, parser, as_result);
    attempt.complete = !body_error;
    attempt.total_ms = milliseconds_since(start);
    parse_answer(parser.get(), attempt);
    co_return attempt;
}

} // namespace marjorampath::serving
