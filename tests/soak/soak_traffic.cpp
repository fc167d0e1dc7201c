#include <tests/soak/monotonic_time.hpp>
#include <tests/soak/soak_fleet.hpp>
#include <tests/soak/soak_traffic.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <platform/standin/operator_documents.hpp>
#include <platform/wire_names.hpp>

namespace marjorampath::test
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace wire = platform::wire;

namespace
{

// Deadline that a caller sends with each request
constexpr std::chrono::milliseconds request_deadline(4'000);
// Time that it waits beyond the deadline, to record late answers
constexpr std::chrono::milliseconds late_answer_wait(2'000);
// Number of events of a stream
constexpr std::uint64_t stream_events = 12;
// Times that a caller continues a broken stream
constexpr int max_resumes = 2;
// Ends an event
constexpr std::string_view event_end = "\n\n";
// Bounds of the pause between two requests of a caller
constexpr int min_pause_ms = 5;
constexpr int max_pause_ms = 60;
// Bounds of the pause between two requests that crash engines
constexpr int min_crash_pause_ms = 100;
constexpr int max_crash_pause_ms = 500;
// One in this number of requests has a key that is or will be revoked
constexpr std::uint64_t organisation_turns = 4;
// Parts of prompts that requests share besides the first one
constexpr std::size_t shared_part_count = 3;

beast::string_view to_beast(std::string_view name)
{
    return {name.data(), name.size()};
}

} // namespace

soak_traffic::soak_traffic(asio::io_context& context, options const& values)
    : context_(context), options_(values)
{
}

void soak_traffic::start()
{
    std::uint32_t seed = options_.seed;
    for (std::size_t node = 0; node < options_.nodes.size(); ++node)
        for (std::size_t caller = 0; caller < options_.callers; ++caller)
        {
            ++running_;
            asio::co_spawn(context_, run_caller(node, ++seed), asio::detached);
        }
    for (std::size_t caller = 0; caller < options_.crashing_callers; ++caller)
    {
        ++running_;
        asio::co_spawn(context_, run_crashing_caller(++seed), asio::detached);
    }
}

std::vector<soak_request> soak_traffic::requests() const
{
    std::lock_guard const lock(mutex_);
    return requests_;
}

soak_request soak_traffic::choose_request(std::size_t node, soak_kind kind,
                                          random_engine& random)
{
    // Favours low numbers, so that some adapters stay loaded and others are evicted
    boost::random::uniform_int_distribution<std::size_t> pick(0, options_.adapters - 1);
    auto const adapter = std::min(pick(random), pick(random));
    auto const attempt = ++next_attempt_;
    return {.attempt = fmt::format("s{}-{}", options_.seed, attempt),
            .kind = kind,
            .node = node,
            .organisation = choose_organisation(attempt),
            .adapter = kind == soak_kind::stream ? fmt::format("a{}", adapter) : ""};
}

std::string soak_traffic::choose_organisation(std::uint64_t attempt) const
{
    if (options_.revocations == 0)
        return {};
    auto const drawn = attempt % (organisation_turns * options_.revocations);
    return drawn < options_.revocations ? leaving_organisation(drawn)
                                        : std::string(staying_organisation);
}

soak_request soak_traffic::continue_stream(soak_request const& broken)
{
    return {.attempt = fmt::format("s{}-{}", options_.seed, ++next_attempt_),
            .kind = soak_kind::stream,
            .node = (broken.node + 1) % options_.nodes.size(),
            .organisation = broken.organisation,
            .adapter = broken.adapter,
            .stream = broken.stream.empty() ? broken.attempt : broken.stream,
            .after_event = broken.last_event,
            .last_event = broken.last_event};
}

std::string soak_traffic::prompt_parts(soak_request const& request) const
{
    auto const own = std::hash<std::string>{}(request.attempt);
    return fmt::format("1:50,{:x}:20,{}{:x}:30", own % shared_part_count + 2,
                       request.crashes_engines ? options_.crashing_part + ":10," : "",
                       own);
}

soak_traffic::message soak_traffic::make_message(soak_request const& request) const
{
    platform::standin_deployment const deployment;
    auto const& prefix = request.kind == soak_kind::stream ? deployment.streams
                         : request.kind == soak_kind::safe ? deployment.safe
                                                           : deployment.unsafe;
    auto const verb =
        request.kind == soak_kind::safe ? http::verb::get : http::verb::post;
    message result(verb, prefix + "x", 11);
    result.set(http::field::host, options_.host);
    result.set(to_beast(wire::attempt_id), request.attempt);
    result.set(to_beast(wire::deadline), fmt::to_string(request_deadline.count()));
    if (!request.organisation.empty())
    {
        result.set(to_beast(wire::access_key), key_of(request.organisation));
        result.set(to_beast(wire::organisation), "forged");
    }
    if (request.kind == soak_kind::stream)
    {
        result.set(to_beast(wire::model), options_.model + '/' + request.adapter);
        result.set(to_beast(wire::token_count), fmt::format("100,{}", stream_events));
        result.set(to_beast(wire::prompt_parts), prompt_parts(request));
        if (request.after_event != 0)
        {
            result.set(to_beast(wire::last_event), fmt::to_string(request.after_event));
            result.set(to_beast(wire::resumed_attempt), request.stream);
        }
    }

    // All safe requests have the same content, like requests for a popular item
    if (request.kind != soak_kind::safe)
        result.body() = request.attempt;
    result.prepare_payload();
    return result;
}

bool soak_traffic::is_correct(soak_request const& request, std::string const& body)
{
    if (request.kind != soak_kind::stream)
        return body.starts_with(
            boost::json::serialize(boost::json::object{{"attempt", request.attempt}}));
    return request.last_event == stream_events && request.only_events;
}

void soak_traffic::read_events(soak_request& request, std::string const& body)
{
    // Stops at the first event that is not the next one of this attempt
    std::size_t begin = 0;
    for (auto end = body.find(event_end); end != std::string::npos;
         end = body.find(event_end, begin))
    {
        auto const event = body.substr(begin, end - begin);
        begin = end + event_end.size();
        auto const expected = fmt::format("id: {}\ndata: {}:{}:", request.last_event + 1,
                                          request.attempt, request.last_event + 1);
        if (!event.starts_with(expected))
            return;
        request.software.insert(event.substr(expected.size()));
        ++request.last_event;
    }
    request.only_events = begin == body.size();
}

asio::awaitable<void> soak_traffic::exchange(std::optional<stream_type>& stream,
                                             soak_request& request)
{
    boost::system::error_code error;
    if (!stream)
    {
        stream.emplace(context_);
        stream->expires_after(std::chrono::seconds(1));
        co_await stream->async_connect(options_.nodes[request.node],
                                       asio::redirect_error(asio::use_awaitable, error));
    }
    request.sent_ms = monotonic_ms();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error)
    {
        auto const sent_message = make_message(request);
        stream->expires_after(request_deadline + late_answer_wait);
        co_await http::async_write(*stream, sent_message,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error)
        co_await http::async_read(*stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    request.ended_ms = monotonic_ms();
    if (parser.is_header_done())
        request.status = parser.get().result_int();
    request.ended = !error && parser.is_done();
    if (request.kind == soak_kind::stream && request.status == 200)
        read_events(request, parser.get().body());
    request.correct = request.ended && is_correct(request, parser.get().body());
    if (!request.ended || !parser.keep_alive())
        stream.reset();
}

asio::awaitable<void> soak_traffic::run_caller(std::size_t node, std::uint32_t seed)
{
    random_engine random(seed);
    boost::random::uniform_int_distribution<int> pick_kind(0, 2);
    boost::random::uniform_int_distribution<int> pick_pause(min_pause_ms, max_pause_ms);
    std::optional<stream_type> stream;
    asio::steady_timer timer(context_);
    while (!stopped_)
    {
        auto request =
            choose_request(node, static_cast<soak_kind>(pick_kind(random)), random);
        co_await exchange(stream, request);
        add(request);
        for (int resumes = 0; resumes < max_resumes && !stopped_ && !request.ended &&
                              request.last_event != 0;
             ++resumes)
        {
            // Another node continues the stream, on a connection of its own
            std::optional<stream_type> other;
            request = continue_stream(request);
            co_await exchange(other, request);
            add(request);
        }
        timer.expires_after(std::chrono::milliseconds(pick_pause(random)));
        co_await timer.async_wait(asio::use_awaitable);
    }
    --running_;
}

asio::awaitable<void> soak_traffic::run_crashing_caller(std::uint32_t seed)
{
    random_engine random(seed);
    boost::random::uniform_int_distribution<std::size_t> pick_node(
        0, options_.nodes.size() - 1);
    boost::random::uniform_int_distribution<int> pick_pause(min_crash_pause_ms,
                                                            max_crash_pause_ms);
    asio::steady_timer timer(context_);
    while (!stopped_)
    {
        auto request = choose_request(pick_node(random), soak_kind::stream, random);
        request.crashes_engines = true;
        std::optional<stream_type> stream;
        co_await exchange(stream, request);
        add(request);
        timer.expires_after(std::chrono::milliseconds(pick_pause(random)));
        co_await timer.async_wait(asio::use_awaitable);
    }
    --running_;
}

void soak_traffic::add(soak_request const& request)
{
    std::lock_guard const lock(mutex_);
    requests_.push_back(request);
}

soak_request soak_traffic::send_once(std::size_t node, soak_kind kind)
{
    random_engine random(options_.seed);
    auto request = choose_request(node, kind, random);
    asio::co_spawn(
        context_,
        [this, &request]() -> asio::awaitable<void>
        {
            std::optional<stream_type> stream;
            co_await exchange(stream, request);
        },
        asio::use_future)
        .get();
    return request;
}

} // namespace marjorampath::test
