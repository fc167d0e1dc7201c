#include <programs/marjorampath-bench/path_worker.hpp>
#include <programs/marjorampath-standin/generated_text.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <fmt/format.h>

#include <limits>
#include <utility>

namespace marjorampath::bench
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

// Limit of the body of an answer
constexpr std::uint64_t max_answer_bytes = 67'108'864;
// Delay before a request is sent again
constexpr std::chrono::milliseconds resend_delay(200);

std::uint32_t microseconds(std::chrono::steady_clock::duration time)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

} // namespace

path_worker::path_worker(path_options const& options, std::uint32_t index)
    : options_(options), index_(index), idle_(options.targets.size()),
      random_(options.seed + index)
{
    remaining_ = options_.requests == 0 ? std::numeric_limits<std::uint64_t>::max()
                                        : options_.requests / options_.threads;
}

void path_worker::run()
{
    end_ = clock::now() + options_.duration;
    if (options_.rate > 0)
        asio::co_spawn(context_, send_at_rate(), asio::detached);
    else
        for (std::uint32_t stream = index_; stream < options_.streams;
             stream += options_.threads)
            asio::co_spawn(context_, send_back_to_back(), asio::detached);
    context_.run();
}

bool path_worker::can_start() const
{
    return remaining_ > 0 && clock::now() < end_;
}

path_worker::call path_worker::make_call(clock::time_point due)
{
    boost::random::uniform_int_distribution<std::uint32_t> adapter_of(
        0, options_.adapters - 1);
    boost::random::uniform_int_distribution<std::uint32_t> percent(0, 99);
    auto const adapter =
        fmt::format("{}{}", options_.adapter_prefix, adapter_of(random_));
    auto const model = fmt::format("{}@{}", adapter, options_.version);

    call created;
    created.due = due;
    created.number = statistics_.requests++;
    created.streamed = percent(random_) < options_.streamed_percent;
    auto const prompt = fmt::format("request {} of caller {}", created.number, index_);
    created.body = fmt::format(
        R"({{"model":"{}","prompt":"{}","max_tokens":{},"stream":{}}})",
        options_.direct ? model : adapter, prompt, options_.tokens, created.streamed);
    created.expected = standin::text_for(model, prompt).tokens(options_.tokens);
    --remaining_;
    return created;
}

asio::awaitable<void> path_worker::send_at_rate()
{
    auto const interval = std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(options_.threads / options_.rate));
    asio::steady_timer timer(context_);
    boost::system::error_code ignored;
    for (auto due = clock::now() + interval * index_ / options_.threads; can_start();
         due += interval)
    {
        timer.expires_at(due);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));

        // The benchmark's own limit of requests in flight, not an error of the target
        if (in_flight_ >= options_.streams / options_.threads)
        {
            ++statistics_.errors["not sent: too many under way"];
            continue;
        }
        asio::co_spawn(context_, run_request(make_call(due)), asio::detached);
    }
}

asio::awaitable<void> path_worker::send_back_to_back()
{
    while (can_start())
    {
        auto request = make_call(clock::now());
        co_await run_request(std::move(request));
    }
}

std::unique_ptr<path_worker::connection> path_worker::take_connection(std::size_t target)
{
    auto& idle = idle_[target];
    if (idle.empty())
        return std::make_unique<connection>(context_);
    auto taken = std::move(idle.back());
    idle.pop_back();
    return taken;
}

asio::awaitable<void> path_worker::run_request(call request)
{
    ++in_flight_;
    path_answer answer;
    auto verdict = answer_verdict::lost;
    clock::time_point first_body_at;
    for (std::uint32_t attempt = 0; attempt < options_.max_attempts; ++attempt)
    {
        // A repeated request is sent to the next target
        ++statistics_.attempts;
        auto const target = (request.number + attempt) % options_.targets.size();
        auto link = take_connection(target);
        if (!link->open)
        {
            boost::system::error_code error;
            link->stream.expires_after(options_.timeout);
            co_await link->stream.async_connect(
                options_.targets[target],
                asio::redirect_error(asio::use_awaitable, error));
            link->open = !error;
            if (link->open)
                link->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
        }
        answer = co_await send(*link, request, first_body_at);
        verdict = check_answer(answer, request.expected);
        if (link->open)
            idle_[target].push_back(std::move(link));
        if (verdict != answer_verdict::error || answer.outcome != "not-run")
            break;

        asio::steady_timer timer(context_);
        timer.expires_after(resend_delay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    --in_flight_;
    record_result(request, verdict, answer, first_body_at);
}

asio::awaitable<path_answer> path_worker::send(connection& link, call const& request,
                                               clock::time_point& first_body_at)
{
    path_answer answer;
    if (!link.open)
        co_return answer;

    http::request<http::string_body> message{http::verb::post, "/v1/completions", 11};
    message.set(http::field::host, "bench");
    message.set(http::field::content_type, "application/json");
    message.set("X-Service", options_.service);
    if (options_.direct)
        message.set("X-Request-Id", fmt::format("{}-{}", index_, request.number));
    message.body() = request.body;
    message.prepare_payload();

    boost::system::error_code error;
    link.stream.expires_after(options_.timeout);
    co_await http::async_write(link.stream, message,
                               asio::redirect_error(asio::use_awaitable, error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    if (!error)
        co_await http::async_read_header(
            link.stream, link.buffer, parser,
            asio::redirect_error(asio::use_awaitable, error));
    bool const has_head = !error;
    if (has_head && !parser.is_done())
        co_await http::async_read_some(link.stream, link.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
    first_body_at = clock::now();
    while (!error && !parser.is_done())
        co_await http::async_read_some(link.stream, link.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
    if (!has_head)
    {
        link.open = false;
        co_return answer;
    }

    auto& head = parser.get();
    answer.status = head.result_int();
    answer.ended = parser.is_done();
    answer.streamed = head[http::field::content_type].starts_with("text/event-stream");
    answer.kind = std::string(head["X-Error-Kind"]);
    answer.outcome = std::string(head["X-Outcome"]);
    link.open = answer.ended && head.keep_alive();
    answer.body = std::move(head.body());
    co_return answer;
}

void path_worker::record_result(call const& request, answer_verdict verdict,
                                path_answer const& answer,
                                clock::time_point first_body_at)
{
    switch (verdict)
    {
    case answer_verdict::whole:
        ++statistics_.whole;
        statistics_.tokens += options_.tokens;
        statistics_.latency_us.push_back(microseconds(clock::now() - request.due));
        statistics_.first_token_us.push_back(microseconds(first_body_at - request.due));
        break;
    case answer_verdict::truncated:
        ++statistics_.truncated;
        break;
    case answer_verdict::wrong:
        ++statistics_.wrong;
        break;
    case answer_verdict::error:
        ++statistics_.errors[fmt::format("{} {}", answer.kind, answer.outcome)];
        break;
    case answer_verdict::lost:
        ++statistics_.lost;
        ++statistics_.errors[fmt::format("lost, status {}", answer.status)];
        break;
    }
}

} // namespace marjorampath::bench
