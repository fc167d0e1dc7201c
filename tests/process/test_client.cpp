#include <programs/marjorampath-standin/generated_text.hpp>
#include <tests/process/test_client.hpp>

#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace marjorampath::test
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

// Time limit of each operation
constexpr std::chrono::seconds operation_timeout(20);
// The largest answer, in bytes
constexpr std::uint64_t max_answer_bytes = 268'435'456;

// The generated text of one JSON answer or event
std::string choice_text(std::string_view text)
{
    boost::system::error_code error;
    auto const document = json::parse(text, error);
    if (error || !document.is_object())
        return {};
    auto const* choices = document.get_object().if_contains("choices");
    if (!choices || !choices->is_array() || choices->get_array().empty())
        return {};
    auto const& choice = choices->get_array()[0].as_object();
    json::value const* value = choice.if_contains("text");
    for (char const* name : {"delta", "message"})
        if (auto const* part = choice.if_contains(name))
            value = part->as_object().if_contains("content");
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

std::string test_answer::text() const
{
    constexpr std::string_view mark = "data: ";
    if (!body.starts_with("data:") && !body.starts_with("id:"))
        return choice_text(body);

    std::string all;
    std::string_view rest = body;
    while (!rest.empty())
    {
        auto const line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        if (line.starts_with(mark))
            all += choice_text(line.substr(mark.size()));
    }
    return all;
}

bool test_answer::looks_complete() const
{
    bool const stream = body.starts_with("data:") || body.starts_with("id:");
    bool const done = !stream || body.find("data: [DONE]") != std::string::npos;
    return status == 200 && ended && done;
}

test_client::test_client(asio::ip::tcp::endpoint const& target) : socket_(context_)
{
    socket_.connect(target);
    socket_.set_option(asio::ip::tcp::no_delay(true));
    parser_.body_limit(max_answer_bytes);
    parser_.eager(true);
}

template <typename Start>
bool test_client::finish(Start start)
{
    boost::system::error_code error = asio::error::timed_out;
    start([&](boost::system::error_code result, std::size_t) { error = result; });
    context_.restart();
    context_.run_for(operation_timeout);
    if (context_.stopped())
        return !error;

    // Out of time: end the operation before its arguments go
    close();
    context_.run();
    return false;
}

bool test_client::read_some()
{
    return finish([&](auto handler)
                  { http::async_read_some(socket_, buffer_, parser_, handler); });
}

void test_client::send(std::string_view method, std::string_view target,
                       std::string const& body, header_fields const& fields)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string({method.data(), method.size()});
    request.target({target.data(), target.size()});
    request.set(http::field::host, "test");
    request.set(http::field::content_type, "application/json");
    for (auto const& [name, value] : fields)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    finish([&](auto handler) { http::async_write(socket_, request, handler); });
}

void test_client::send_raw(std::string_view bytes)
{
    auto const buffer = asio::buffer(bytes);
    finish([&](auto handler) { asio::async_write(socket_, buffer, handler); });
}

test_answer test_client::read_answer()
{
    while (!parser_.is_done() && read_some())
        continue;

    test_answer answer;
    if (!parser_.is_header_done())
        return answer;
    auto const& message = parser_.get();
    answer.status = message.result_int();
    answer.ended = parser_.is_done();
    answer.body = message.body();
    answer.kind = std::string(message["X-Error-Kind"]);
    answer.outcome = std::string(message["X-Outcome"]);
    answer.request_id = std::string(message["X-Request-Id"]);
    return answer;
}

bool test_client::read_events(std::size_t count)
{
    auto const events = [this]
    {
        auto const& body = parser_.get().body();
        std::size_t number = 0;
        for (auto at = body.find("data: "); at != std::string::npos;
             at = body.find("data: ", at + 1))
            ++number;
        return number;
    };
    while (!parser_.is_done() && events() < count && read_some())
        continue;
    return events() >= count;
}

void test_client::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

test_answer call(asio::ip::tcp::endpoint const& target, std::string_view method,
                 std::string_view path, std::string const& body,
                 header_fields const& fields)
{
    try
    {
        test_client client(target);
        client.send(method, path, body, fields);
        return client.read_answer();
    }
    catch (boost::system::system_error const&)
    {
        return {};
    }
}

std::string completion_body(std::string_view adapter, std::string_view prompt,
                            std::uint32_t tokens, bool streamed)
{
    return json::serialize(json::object{{"model", adapter},
                                        {"prompt", prompt},
                                        {"max_tokens", tokens},
                                        {"stream", streamed}});
}

std::string expected_text(std::string_view model, std::string_view prompt,
                          std::uint32_t tokens)
{
    return standin::text_for(model, prompt).tokens(tokens);
}

} // namespace marjorampath::test
