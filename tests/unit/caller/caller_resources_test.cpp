#include <serving/caller/caller_listener.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/resources/host_resources.hpp>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::serving;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t message_bytes = 400'000;
constexpr std::size_t max_body_bytes = 300'000;
constexpr std::size_t places = 8;

// A client that sends some bytes and keeps what it reads
struct client
{
    explicit client(asio::io_context& loop) : socket(loop) {}

    tcp::socket socket;
    std::string sent;
    std::string received;
    std::size_t sent_bytes = 0;
    bool ended = false;
};

// A listener whose connections share a small budget. Requests to /wait are answered when
// `release` is called, those to /long with a long answer
struct resources_fixture
{
    resources_fixture()
    {
        BOOST_REQUIRE(!listener.listen({asio::ip::address_v4::loopback(), 0}));
        listener.start();
    }

    asio::awaitable<void> handle(caller_session& session, caller_message const& message)
    {
        caller_answer answer(boost::beast::http::status::ok, 11);
        if (message.target() == "/throw")
            throw std::runtime_error("a handler failed");
        if (message.target() == "/wait")
        {
            error_code ignored;
            co_await waiting.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (message.target() == "/long")
            answer.body() = long_answer;
        co_await session.send(std::move(answer));
    }

    // Starts a client that sends a text, and then filler as long as it is read
    client& start(std::string text, std::size_t filler = 0)
    {
        clients.push_back(std::make_unique<client>(loop));
        auto& added = *clients.back();
        added.sent = std::move(text);
        asio::co_spawn(loop, send(added, filler), asio::detached);
        asio::co_spawn(loop, read(added), asio::detached);
        return added;
    }

    asio::awaitable<void> send(client& by, std::size_t filler)
    {
        error_code error;
        by.socket.connect(listener.address(), error);
        co_await asio::async_write(by.socket, asio::buffer(by.sent),
                                   asio::redirect_error(asio::use_awaitable, error));
        std::string const piece(65'536, 'a');
        while (!error && by.sent_bytes < filler)
            by.sent_bytes += co_await asio::async_write(
                by.socket, asio::buffer(piece),
                asio::redirect_error(asio::use_awaitable, error));
    }

    asio::awaitable<void> read(client& by)
    {
        error_code error;
        std::array<char, 4'096> bytes{};
        while (!error)
        {
            auto const size = co_await by.socket.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            by.received.append(bytes.data(), size);
        }
        by.ended = true;
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        auto const end = boot_now() + 10s;
        while (!condition() && boot_now() < end)
            loop.run_one_for(20ms);
        BOOST_TEST(condition());
    }

    // Runs until a client has an answer with this status
    void run_until_answered(client const& by, unsigned status)
    {
        auto const line = fmt::format("HTTP/1.1 {} ", status);
        run_until([&] { return by.received.starts_with(line); });
    }

    asio::io_context loop;
    asio::steady_timer waiting{loop, asio::steady_timer::time_point::max()};
    std::string const long_answer = std::string(300'000, 'x') + "end";
    std::shared_ptr<host_resources> resources = std::make_shared<host_resources>(
        loop,
        resource_budget_options{.limits = {.message_bytes = message_bytes,
                                           .host_message_bytes = message_bytes,
                                           .connection_message_bytes = message_bytes,
                                           .connections = {places, 1, 1, 1}},
                                .stall_time = 300ms,
                                .max_wait = 600ms,
                                .discard_rate = 100'000,
                                .discard_burst = 1'000'000});
    caller_context context{
        .loop = loop,
        .limits = {.max_body_bytes = max_body_bytes, .head_timeout = 300ms},
        .handle_request = [this](caller_session& session, caller_message const& message)
        { return handle(session, message); },
        .resources = resources};
    caller_listener listener{context};
    std::vector<std::unique_ptr<client>> clients;
};

std::string request(std::string_view path, std::size_t length, std::size_t sent)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}",
                       path, length, std::string(sent, 'a'));
}

bool contains(client const& by, std::string_view text)
{
    return by.received.find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_resources)

// A head that stopped kept its connection for the time of a whole request
BOOST_AUTO_TEST_CASE(a_head_that_stops_is_answered_as_not_run)
{
    resources_fixture host;
    auto const& stopped = host.start("POST /x HTTP/1.1\r\nHost: a");
    host.run_until_answered(stopped, 408);
    BOOST_TEST(contains(stopped, "X-Outcome: not-run"));
    auto const& idle = host.start({});
    auto const& ordinary = host.start(request("/x", 0, 0));
    host.run_until_answered(ordinary, 200);
    BOOST_TEST(!idle.ended);
}

// Bodies that stop kept their memory for 30 seconds
BOOST_AUTO_TEST_CASE(a_body_that_stops_yields_to_one_that_arrives)
{
    resources_fixture host;
    auto const& stopped = host.start(request("/x", 290'000, 280'000));
    host.run_until([&] { return host.resources->budget().reserved_bytes() > 250'000; });
    auto const& whole = host.start(request("/x", 200'000, 200'000));
    host.run_until_answered(stopped, 408);
    host.run_until_answered(whole, 200);
    BOOST_TEST(contains(stopped, "X-Outcome: not-run"));
    host.run_until([&] { return host.resources->budget().reserved_bytes() == 0; });
    BOOST_TEST(host.resources->counted().evicted_stalled == 1U);
}

// Where requests at work hold all memory, others are refused as not run, and small ones
// are still served
BOOST_AUTO_TEST_CASE(a_body_without_memory_is_refused_and_may_come_back)
{
    resources_fixture host;
    auto const& working = host.start(request("/wait", 290'000, 290'000));
    host.run_until([&] { return host.resources->budget().reserved_bytes() > 280'000; });
    auto const& refused = host.start(request("/x", 200'000, 200'000));
    host.run_until_answered(refused, 503);
    BOOST_TEST(contains(refused, "X-Outcome: not-run"));
    BOOST_TEST(contains(refused, "Retry-After: 1"));
    BOOST_TEST(contains(refused, "Connection: close"));
    auto const& small = host.start(request("/x", 2'000, 2'000));
    host.run_until_answered(small, 200);
    host.waiting.cancel();
    host.run_until_answered(working, 200);
    BOOST_TEST(host.resources->counted().refused_messages == 1U);
}

// A host that has no place for a connection closed it without an answer
BOOST_AUTO_TEST_CASE(a_request_without_a_place_is_refused_and_idle_connections_yield)
{
    resources_fixture host;
    std::vector<client*> idle;
    for (std::size_t count = 0; count + 1 < places; ++count)
        idle.push_back(&host.start({}));
    host.run_until([&] { return host.listener.connections() == places - 1; });
    for (std::size_t count = 0; count + 1 < places; ++count)
        host.start(request("/wait", 0, 0));
    host.run_until([&] { return idle.back()->ended; });
    auto const& refused = host.start(request("/x", 0, 0));
    host.run_until_answered(refused, 503);
    BOOST_TEST(contains(refused, "X-Error-Kind: host-full"));
    BOOST_TEST(host.resources->counted().evicted_idle == places - 1);
    host.waiting.cancel();
}

// Senders whose requests were refused were each read on for a second, whatever they sent
BOOST_AUTO_TEST_CASE(refused_senders_are_not_read_without_a_bound)
{
    constexpr std::size_t offered_bytes = 200'000'000;
    constexpr std::size_t most_accepted_bytes = 20'000'000;
    resources_fixture host;
    std::size_t sent = 0;
    for (std::size_t count = 0; count + 1 < places; ++count)
    {
        auto const& flood = host.start(request("/x", 1'000'000'000, 0), offered_bytes);
        host.run_until([&] { return flood.ended && host.listener.connections() == 0; });
        BOOST_TEST((count > 0 || flood.received.starts_with("HTTP/1.1 413 ")));
        sent += flood.sent_bytes;
    }
    BOOST_TEST(sent < most_accepted_bytes);
}

// A long answer is sent in pieces; a handler that fails ends its own connection only
BOOST_AUTO_TEST_CASE(long_answers_are_whole_and_a_failed_handler_ends_one_connection)
{
    resources_fixture host;
    auto const& failed = host.start(request("/throw", 0, 0));
    host.run_until([&] { return failed.ended; });
    BOOST_TEST(failed.received.empty());
    auto const& reader = host.start(request("/long", 0, 0));
    host.run_until([&] { return reader.received.ends_with("end"); });
    BOOST_TEST(
        contains(reader, fmt::format("Content-Length: {}\r\n", host.long_answer.size())));
    BOOST_TEST(reader.received.ends_with("\r\n\r\n" + host.long_answer));
}

BOOST_AUTO_TEST_SUITE_END()
