#include <tests/unit/entry/entry_fixture.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// Time without a reader after which an endpoint cuts its answer off
constexpr auto unread_limit = 1'500ms;
// Streams that nobody reads; more than the failures after which an endpoint is ejected
constexpr int unread_streams = 3;

// A stream of events that ends only when nobody reads it
scripted_answer long_stream()
{
    return {.text = stream_head(),
            .endless = chunk("data: " + std::string(60'000, 'a') + "\n\n"),
            .unread_limit = unread_limit};
}

// A caller that asks for a stream and reads it only once the endpoint has cut it off
asio::awaitable<void> read_late(entry_fixture& entry, int& ended)
{
    tcp::socket socket(entry.loop);
    socket.open(tcp::v4());
    constexpr int receive_buffer_bytes = 4'096;
    socket.set_option(tcp::socket::receive_buffer_size(receive_buffer_bytes));
    co_await socket.async_connect(entry.listener.address(), asio::use_awaitable);
    std::string const request = "POST /stream/x HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Attempt-Id: 9c41\r\nX-Deadline-Ms: 30000\r\n"
                                "Content-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    asio::steady_timer timer(entry.loop);
    while (entry.servers[0]->unread == ended)
    {
        timer.expires_after(10ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
    error_code error;
    std::array<char, 65'536> bytes{};
    while (!error)
        co_await socket.async_read_some(asio::buffer(bytes),
                                        asio::redirect_error(asio::use_awaitable, error));
    ++ended;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_slow_readers)

// An endpoint cuts an answer off that stays unread. Where its caller had stopped reading,
// that counted as a failure of the endpoint, which was ejected, and its requests became
// suspects of crashing it
BOOST_AUTO_TEST_CASE(an_unread_stream_counts_neither_against_endpoint_nor_content)
{
    entry_fixture entry({long_stream(), long_stream(), long_stream()}, {});
    auto const now = [] { return boot_now(); };
    auto routes = std::make_shared<deployment>(entry.context.routes->source());
    for (auto& each : routes->routes)
        each.timeout = 30s;
    entry.context.routes = std::make_shared<route_table const>(routes);
    int ended = 0;
    for (int reader = 1; reader <= unread_streams; ++reader)
    {
        asio::co_spawn(entry.loop, read_late(entry, ended), asio::detached);
        entry.run_until([&] { return ended == reader; });
    }
    BOOST_TEST(entry.servers[0]->requests.size() == unread_streams);
    BOOST_TEST(entry.servers[1]->requests.empty());
    BOOST_TEST(entry.context.dispatch.usable_endpoints(service_id::of("s"), now()) == 2U);
    entry.context.suspects.on_crash(now(), {}, endpoint_id::of("i-0"), 1);
    BOOST_TEST(entry.context.suspects.convictions(now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
