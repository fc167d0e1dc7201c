#include <serving/clock/boot_time.hpp>
#include <serving/host_list/host_entry.hpp>
#include <serving/replay/http_exchange.hpp>
#include <serving/replay/replay_runner.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr unsigned http_version = 11;
constexpr std::chrono::milliseconds resend_pause{250};
constexpr std::chrono::seconds progress_period{1};

using http_request = http::request<http::string_body>;

http_request make_request(trace_request const& traced)
{
    http_request request;
    request.version(http_version);
    request.set(http::field::host, "entry");
    request.set(http::field::connection, "close");
    if (!traced.key.empty())
        request.set("Idempotency-Key", traced.key);
    if (traced.deadline_ms > 0)
        request.set("X-Deadline-Ms", std::to_string(traced.deadline_ms));

    if (!traced.is_model_request())
    {
        auto const space = traced.operation.find(' ');
        request.method_string(traced.operation.substr(0, space));
        request.target(fmt::format("/services/{}{}", traced.service,
                                   traced.operation.substr(space + 1)));
        request.body() = traced.body;
        request.prepare_payload();
        return request;
    }

    json::object body{{"model", traced.adapter},
                      {"max_tokens", traced.max_tokens},
                      {"stream", traced.stream}};
    bool const chat = traced.operation == "chat";
    if (chat)
        body["messages"] =
            json::array{json::object{{"role", "user"}, {"content", traced.body}}};
    else
        body["prompt"] = traced.body;
    request.method(http::verb::post);
    request.target(fmt::format("/{}/v1/{}", traced.service,
                               chat ? "chat/completions" : "completions"));
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(body);
    request.prepare_payload();
    return request;
}

// Whether a caller sends the request again after this answer
bool sends_again(trace_request const& traced, replay_attempt const& attempt)
{
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    if (attempt.status == 0)
        return !traced.key.empty();
    return attempt.outcome == "not-run" &&
           (attempt.status == too_many_requests || attempt.status == unavailable);
}

// Sends a trace and counts what is under way
class runner
{
public:
    runner(std::span<trace_request const> trace, replay_options const& options)
        : trace_(trace), options_(options), results_(trace.size())
    {
    }

    std::vector<replay_result> run()
    {
        asio::co_spawn(context_, send_all(), asio::detached);
        asio::co_spawn(context_, report_progress(), asio::detached);
        context_.run();
        return std::move(results_);
    }

private:
    asio::awaitable<void> pause(std::chrono::nanoseconds length)
    {
        asio::steady_timer timer(context_, length);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> send_all()
    {
        auto const start = boot_now();
        for (std::size_t index = 0; index < trace_.size(); ++index)
        {
            // Wait for the request's time, and for room
            auto const due = std::chrono::duration<double, std::milli>(
                static_cast<double>(trace_[index].at_ms) / options_.speed);
            auto const wait =
                std::chrono::duration_cast<duration>(due) - (boot_now() - start);
            if (wait.count() > 0)
                co_await pause(wait);
            while (under_way_ >= options_.max_in_flight)
                co_await pause(std::chrono::milliseconds(1));

            ++under_way_;
            asio::co_spawn(context_, send_one(index), asio::detached);
        }
    }

    asio::awaitable<void> send_one(std::size_t index)
    {
        auto const& traced = trace_[index];
        auto& result = results_[index];
        result.index = index;
        while (result.attempts.size() < options_.max_sendings)
        {
            // A caller that sends again may reach another entry host
            auto const turn = index + result.attempts.size();
            auto const target = options_.targets[turn % options_.targets.size()];
            auto request = make_request(traced);
            auto attempt =
                co_await exchange(target, std::move(request), options_.timeout);
            result.attempts.push_back(std::move(attempt));
            if (!sends_again(traced, result.attempts.back()))
                break;
            co_await pause(resend_pause * result.attempts.size());
        }
        --under_way_;
        ++finished_;
    }

    asio::awaitable<void> report_progress()
    {
        while (finished_ < trace_.size())
        {
            co_await pause(progress_period);
            if (options_.on_progress)
                options_.on_progress(finished_);
        }
    }

    // Runs everything on the calling thread
    asio::io_context context_;
    // What is replayed
    std::span<trace_request const> trace_;
    // How it is replayed
    replay_options const& options_;
    // One result for each request
    std::vector<replay_result> results_;
    // Requests under way
    std::size_t under_way_ = 0;
    // Requests that have their last answer
    std::size_t finished_ = 0;
};

std::string text_of(json::object const& line, char const* name)
{
    auto const* value = line.if_contains(name);
    return value && value->is_string() ? json::value_to<std::string>(*value)
                                       : std::string();
}

void read_records(std::string_view body, std::vector<endpoint_record>& records)
{
    while (!body.empty())
    {
        auto const end = std::min(body.find('\n'), body.size());
        auto const line = body.substr(0, end);
        body.remove_prefix(std::min(end + 1, body.size()));
        boost::system::error_code error;
        auto const value = json::parse({line.data(), line.size()}, error);
        if (error || !value.is_object())
            continue;
        auto const& object = value.get_object();
        records.push_back({.request_id = text_of(object, "request_id"),
                           .key = text_of(object, "key"),
                           .model = text_of(object, "model"),
                           .violation = text_of(object, "violation")});
    }
}

} // namespace

std::vector<replay_result> run_replay(std::span<trace_request const> trace,
                                      replay_options const& options)
{
    return runner(trace, options).run();
}

std::vector<endpoint_record>
fetch_records(std::span<asio::ip::tcp::endpoint const> endpoints,
              std::vector<std::string>& missing)
{
    constexpr std::chrono::milliseconds timeout{10'000};
    std::vector<endpoint_record> records;
    asio::io_context context;
    for (auto const& endpoint : endpoints)
    {
        http_request request(http::verb::get, "/records", http_version);
        request.set(http::field::host, "endpoint");
        request.set(http::field::connection, "close");
        asio::co_spawn(context, exchange(endpoint, std::move(request), timeout),
                       [&](std::exception_ptr const&, replay_attempt const& attempt)
                       {
                           if (attempt.complete)
                               read_records(attempt.text, records);
                           else
                               missing.push_back(format_address(endpoint));
                       });
    }
    context.run();
    return records;
}

} // namespace marjorampath::serving
