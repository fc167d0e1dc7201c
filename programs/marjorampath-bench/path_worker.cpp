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

// The largest answer, in bytes
constexpr std::uint64_t max_answer_bytes = 67'108'864;
// Wait before a request is sent again
constexpr std::chrono::milliseconds resend_wait(200);

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
    left_ = options_.requests == 0 ? std::numeric_limits<std::uint64_t>::max()
                                   : options_.requests / options_.threads;
}

void path_worker::run()
{
    end_ = clock::now() + options_.duration;
    if (options_.rate > 0)
        asio::co_spawn(context_, pace(), asio::detached);
    else
        for (std::uint32_t stream = index_; stream < options_.streams;
             stream += options_.threads)
            asio::co_spawn(context_, keep_calling(), asio::detached);
    context_.run();
}

bool path_worker::may_start() const
{
    return left_ > 0 && clock::now() < end_;
}

path_worker::call path_worker::make_call(clock::time_point due)
{
    boost::random::uniform_int_distribution<std::uint32_t> adapter_of(
        0, options_.adapters - 1);
    boost::random::uniform_int_distribution<std::uint32_t> percent(0, 99);
    auto const adapter =
        fmt::format("{}{}", options_.adapter_prefix, adapter_of(random_));
    auto const model = fmt::format("{}@{}", adapter, options_.version);

    call made;
    made.due = due;
    made.number = statistics_.requests++;
    made.streamed = percent(random_) < options_.streamed_percent;
    auto const prompt = fmt::format("request {} of caller {}", made.number, index_);
    made.body = fmt::format(
        R"({{"model":"{}","prompt":"{}","max_tokens":{},"stream":{}}})",
        options_.direct ? model : adapter, prompt, options_.tokens, made.streamed);
    made.expected = standin::text_for(model, prompt).tokens(options_.tokens);
    --left_;
    return made;
}

asio::awaitable<void> path_worker::pace()
{
    auto const interval = std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(options_.threads / options_.rate));
    asio::steady_timer timer(context_);
    boost::system::error_code ignored;
    for (auto due = clock::now() + interval * index_ / options_.threads; may_start();
         due += interval)
    {
        timer.expires_at(due);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));

        // A request that finds no room is an error of the bound, not of the target
        if (under_way_ >= options_.streams / options_.threads)
        {
            ++statistics_.errors["not sent: too many under way"];
            continue;
        }
        asio::co_spawn(context_, carry(make_call(due)), asio::detached);
    }
}

asio::awaitable<void> path_worker::keep_calling()
{
    while (may_start())
    {
        auto request = make_call(clock::now());
        co_await carry(std::move(request));
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

asio::awaitable<void> path_worker::carry(call request)
{
    ++under_way_;
    path_answer answer;
    auto verdict = answer_verdict::lost;
    clock::time_point first_part;
    for (std::uint32_t sending = 0; sending < options_.max_sendings; ++sending)
    {
        // Another sending goes to the next target
        ++statistics_.sendings;
        auto const target = (request.number + sending) % options_.targets.size();
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
        answer = co_await send(*link, request, first_part);
        verdict = judge(answer, request.expected);
        if (link->open)
            idle_[target].push_back(std::move(link));
        if (verdict != answer_verdict::error || answer.outcome != "not-run")
            break;

        asio::steady_timer timer(context_);
        timer.expires_after(resend_wait);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    --under_way_;
    note(request, verdict, answer, first_part);
}

asio::awaitable<path_answer> path_worker::send(connection& link, call const& request,
                                               clock::time_point& first_part)
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
    bool const headed = !error;
    if (headed && !parser.is_done())
        co_await http::async_read_some(link.stream, link.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
    first_part = clock::now();
    while (!error && !parser.is_done())
        co_await http::async_read_some(link.stream, link.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
    if (!headed)
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

void path_worker::note(call const& request, answer_verdict verdict,
                       path_answer const& answer, clock::time_point first_part)
{
    switch (verdict)
    {
    case answer_verdict::whole:
        ++statistics_.whole;
        statistics_.tokens += options_.tokens;
        statistics_.latency_us.push_back(microseconds(clock::now() - request.due));
        statistics_.first_token_us.push_back(microseconds(first_part - request.due));
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
