#include <tests/soak/monotonic_time.hpp>
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

// Time that a caller waits for an answer, as it tells the node
constexpr std::chrono::milliseconds patience(4'000);
// Time that it looks on after that, to see late answers
constexpr std::chrono::milliseconds lateness(2'000);
// Events of a stream
constexpr std::uint64_t stream_events = 12;
// Times between two requests of a caller, in milliseconds
constexpr int shortest_pause = 5;
constexpr int longest_pause = 60;

beast::string_view name_of(std::string_view name)
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
            asio::co_spawn(context_, call(node, ++seed), asio::detached);
        }
}

std::vector<soak_request> soak_traffic::requests() const
{
    std::lock_guard const lock(mutex_);
    return requests_;
}

soak_request soak_traffic::choose(std::size_t node, soak_kind kind, random_engine& random)
{
    // Low numbers are asked for more often, so that some adapters stay and others change
    boost::random::uniform_int_distribution<std::size_t> pick(0, options_.adapters - 1);
    auto const adapter = std::min(pick(random), pick(random));
    return {.attempt = fmt::format("s{}-{}", options_.seed, ++next_),
            .kind = kind,
            .node = node,
            .adapter = kind == soak_kind::stream ? fmt::format("a{}", adapter) : ""};
}

soak_traffic::message soak_traffic::make_message(soak_request const& asked) const
{
    platform::standin_deployment const routes;
    auto const& prefix = asked.kind == soak_kind::stream ? routes.streams
                         : asked.kind == soak_kind::safe ? routes.safe
                                                         : routes.unsafe;
    auto const verb = asked.kind == soak_kind::safe ? http::verb::get : http::verb::post;
    message made(verb, prefix + "x", 11);
    made.set(http::field::host, options_.host);
    made.set(name_of(wire::attempt_id), asked.attempt);
    made.set(name_of(wire::deadline), fmt::to_string(patience.count()));
    if (asked.kind == soak_kind::stream)
    {
        made.set(name_of(wire::model), options_.model + '/' + asked.adapter);
        made.set(name_of(wire::token_count), fmt::format("100,{}", stream_events));
        made.set(name_of(wire::prompt_parts), "1:50,2:50");
    }

    // All safe requests have the same content, as those for a popular item do
    if (asked.kind != soak_kind::safe)
        made.body() = asked.attempt;
    made.prepare_payload();
    return made;
}

bool soak_traffic::is_correct(soak_request const& asked, std::string const& body)
{
    if (asked.kind != soak_kind::stream)
        return body.starts_with(
            boost::json::serialize(boost::json::object{{"attempt", asked.attempt}}));
    std::string whole;
    for (std::uint64_t event = 1; event <= stream_events; ++event)
        whole += fmt::format("id: {}\ndata: {}:{}\n\n", event, asked.attempt, event);
    return body == whole;
}

asio::awaitable<void> soak_traffic::ask(std::optional<stream_type>& stream,
                                        soak_request& asked)
{
    boost::system::error_code error;
    if (!stream)
    {
        stream.emplace(context_);
        stream->expires_after(std::chrono::seconds(1));
        co_await stream->async_connect(options_.nodes[asked.node],
                                       asio::redirect_error(asio::use_awaitable, error));
    }
    asked.sent_ms = monotonic_ms();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error)
    {
        auto const request = make_message(asked);
        stream->expires_after(patience + lateness);
        co_await http::async_write(*stream, request,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error)
        co_await http::async_read(*stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    asked.ended_ms = monotonic_ms();
    if (parser.is_header_done())
        asked.status = parser.get().result_int();
    asked.ended = !error && parser.is_done();
    asked.right = asked.ended && is_correct(asked, parser.get().body());
    if (!asked.ended || !parser.keep_alive())
        stream.reset();
}

asio::awaitable<void> soak_traffic::call(std::size_t node, std::uint32_t seed)
{
    random_engine random(seed);
    boost::random::uniform_int_distribution<int> pick_kind(0, 2);
    boost::random::uniform_int_distribution<int> pick_pause(shortest_pause,
                                                            longest_pause);
    std::optional<stream_type> stream;
    asio::steady_timer timer(context_);
    while (!stopped_)
    {
        auto asked = choose(node, static_cast<soak_kind>(pick_kind(random)), random);
        co_await ask(stream, asked);
        {
            std::lock_guard const lock(mutex_);
            requests_.push_back(std::move(asked));
        }
        timer.expires_after(std::chrono::milliseconds(pick_pause(random)));
        co_await timer.async_wait(asio::use_awaitable);
    }
    --running_;
}

soak_request soak_traffic::send_once(std::size_t node, soak_kind kind)
{
    random_engine random(options_.seed);
    auto asked = choose(node, kind, random);
    asio::co_spawn(
        context_,
        [this, &asked]() -> asio::awaitable<void>
        {
            std::optional<stream_type> stream;
            co_await ask(stream, asked);
        },
        asio::use_future)
        .get();
    return asked;
}

} // namespace marjorampath::test
