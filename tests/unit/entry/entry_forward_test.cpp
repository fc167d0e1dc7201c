#include <tests/unit/entry/entry_fixture.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

std::string const host_refusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 9c41\r\nRetry-After: 0.50\r\n"
    "Content-Length: 2\r\n\r\nno";

// An entry host that reaches no endpoint, and two others that do
struct cut_fixture : entry_fixture
{
    cut_fixture(std::deque<scripted_answer> first, std::deque<scripted_answer> second,
                std::deque<scripted_answer> own = {})
        : entry_fixture(std::move(own), {}), first_peer(loop, std::move(first)),
          second_peer(loop, std::move(second))
    {
        for (auto const* peer : {&first_peer, &second_peer})
            peer_hosts.push_back(
                {peer->address().address().to_v4().to_uint(), peer->address().port()});
    }

    // This host reaches no endpoint any more
    void cut()
    {
        auto const service = service_id::of("s");
        context.reach.on_failed(service, boot_now());
        context.reach.on_failed(service, boot_now());
        context.reach.due_probes(boot_now());
        context.reach.on_probed(service, false, boot_now());
    }

    scripted_server first_peer;
    scripted_server second_peer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_forwards)

// Such a host refused everything
BOOST_AUTO_TEST_CASE(a_host_that_reaches_no_endpoint_passes_requests_on)
{
    for (auto const* path : {"/safe/x", "/unsafe/x"})
    {
        cut_fixture entry({{sealed("from a peer")}}, {});
        entry.cut();
        auto const answer = entry.send_request(http::verb::post, path);
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
        BOOST_TEST(answer.ends_with("from a peer"));
        BOOST_TEST(contains(answer, "X-Server-Seal: s"));
        BOOST_REQUIRE(entry.first_peer.requests.size() == 1U);
        auto const& sent = entry.first_peer.requests[0];
        BOOST_TEST(sent["X-Attempt-Id"] == "9c41");
        BOOST_TEST(std::stoi(std::string(sent["X-Deadline-Ms"])) <= 2'000);
        BOOST_TEST(entry.sends() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_host_that_reaches_endpoints_passes_nothing_on)
{
    cut_fixture entry({{sealed("from a peer")}}, {}, {{sealed("own")}});
    BOOST_TEST(entry.send_request(http::verb::get, "/safe/x").ends_with("own"));
    BOOST_TEST(entry.first_peer.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_was_passed_on_is_not_passed_on_again)
{
    cut_fixture entry({{sealed("from a peer")}}, {}, {{sealed("own")}});
    entry.cut();
    entry.forwarded = true;
    BOOST_TEST(entry.send_request(http::verb::get, "/safe/x").ends_with("own"));
    BOOST_TEST(entry.first_peer.requests.empty());
}

BOOST_AUTO_TEST_CASE(the_refusal_of_the_other_host_is_passed_back)
{
    cut_fixture entry({{host_refusal}}, {});
    entry.cut();
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "Retry-After: 0.50"));
    BOOST_TEST(entry.second_peer.requests.empty());
}

// The other host may have run it
BOOST_AUTO_TEST_CASE(a_request_that_is_lost_at_the_other_host_may_have_run)
{
    cut_fixture entry({{""}}, {{sealed("again")}});
    entry.cut();
    BOOST_TEST(
        entry.send_request(http::verb::post, "/unsafe/x").starts_with("HTTP/1.1 502"));
    BOOST_TEST(entry.second_peer.requests.empty());

    cut_fixture safe({{""}}, {{sealed("again")}});
    safe.cut();
    BOOST_TEST(safe.send_request(http::verb::get, "/safe/x").ends_with("again"));
    BOOST_TEST(safe.second_peer.requests.size() == 1U);

    cut_fixture refused({{""}}, {{host_refusal}});
    refused.cut();
    BOOST_TEST(
        refused.send_request(http::verb::get, "/safe/x").starts_with("HTTP/1.1 502"));
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_host_that_is_cut_in_its_head_is_not_whole)
{
    for (auto const& whole : {sealed("from a peer"), stream_head()})
        for (std::size_t size = 1; size < whole.find("\r\n\r\n") + 4; ++size)
            for (auto const* path : {"/unsafe/x", "/stream/x"})
            {
                cut_fixture entry({{whole.substr(0, size)}}, {});
                entry.cut();
                auto const answer = entry.send_request(http::verb::post, path);
                BOOST_TEST(answer.starts_with("HTTP/1.1 502"), whole.substr(0, size));
                BOOST_TEST(contains(answer, "X-Outcome: unknown"));
            }
}

BOOST_AUTO_TEST_CASE(a_host_that_takes_no_connection_is_passed_over)
{
    cut_fixture entry({}, {{sealed("from the second")}});
    entry.cut();
    tcp::acceptor closed(entry.loop, {asio::ip::address_v4::loopback(), 0});
    entry.peer_hosts[0].port = closed.local_endpoint().port();
    closed.close();
    BOOST_TEST(
        entry.send_request(http::verb::post, "/unsafe/x").ends_with("from the second"));
}

BOOST_AUTO_TEST_CASE(a_stream_of_another_host_goes_on_at_a_third_one)
{
    cut_fixture entry({{stream_head() + chunk(events(1, 2) + "id: 3\nda")}},
                      {{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}});
    entry.cut();
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
    for (unsigned id = 1; id <= 4; ++id)
        BOOST_TEST(contains(answer, fmt::format("id: {}\ndata: {}\n\n", id, id)));
    BOOST_REQUIRE(entry.second_peer.requests.size() == 1U);
    BOOST_TEST(entry.second_peer.requests[0]["Last-Event-Id"] == "2");
    BOOST_TEST(entry.second_peer.requests[0]["Resumes"] == "9c41");
}

// This host does not know the software version that began it
BOOST_AUTO_TEST_CASE(a_stream_of_another_host_does_not_go_on_at_an_endpoint)
{
    cut_fixture entry({{stream_head() + chunk(events(1, 2))}}, {},
                      {{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}});
    entry.cut();
    entry.peer_hosts.pop_back();
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(contains(answer, "data: 2"));
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(entry.sends() == 0U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_request_at_the_other_host)
{
    cut_fixture entry({{"", false}}, {});
    entry.cut();
    asio::co_spawn(
        entry.loop,
        [&]() -> asio::awaitable<void>
        {
            tcp::socket socket(entry.loop);
            co_await socket.async_connect(entry.listener.address(), asio::use_awaitable);
            caller_message message(http::verb::get, "/safe/x", 11);
            message.set("Host", "a.example");
            message.set("X-Attempt-Id", "9c41");
            co_await http::async_write(socket, message, asio::use_awaitable);
            asio::steady_timer timer(entry.loop, 100ms);
            co_await timer.async_wait(asio::use_awaitable);
        },
        asio::detached);
    entry.run_until([&] { return entry.first_peer.abandoned == 1; });
}

BOOST_AUTO_TEST_SUITE_END()
