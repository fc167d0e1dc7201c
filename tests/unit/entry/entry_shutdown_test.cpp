#include <tests/unit/entry/entry_fixture.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// Ends the host's requests once a condition holds
template <class Condition>
void end_requests_when(entry_fixture& entry, Condition condition)
{
    asio::co_spawn(
        entry.loop,
        [&entry, condition]() -> asio::awaitable<void>
        {
            while (!condition())
                co_await asio::post(entry.loop, asio::use_awaitable);
            entry.context.end_requests();
        },
        asio::detached);
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_shutdowns)

// Requests that still ran at the end of the grace period were cut with no answer
BOOST_AUTO_TEST_CASE(a_request_that_runs_when_the_host_ends_may_have_run)
{
    for (auto const* path : {"/unsafe/x", "/safe/x", "/stream/x"})
    {
        entry_fixture entry({{.text = "", .closes = false}}, {{sealed("again")}});
        end_requests_when(entry, [&] { return entry.sends() == 1; });
        auto const answer = entry.send_request(http::verb::post, path);
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
        BOOST_TEST(contains(answer, "X-Outcome: unknown"));
        BOOST_TEST(entry.sends() == 1U);
        BOOST_TEST(entry.context.open_exchanges.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_when_the_host_ends_has_not_run)
{
    entry_fixture entry({}, {});
    entry.store_answers = false;
    end_requests_when(entry, [&] { return !entry.context.listing_waiters.empty(); });
    auto const begin = boot_now();
    auto const answer = entry.send_request(
        http::verb::post, "/resumable/x", {{"Last-Event-Id", "2"}, {"Resumes", "first"}});
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "X-Error-Kind: shutting-down"));
    BOOST_TEST(contains(answer, "X-Outcome: not-run"));
    BOOST_TEST(contains(answer, "Retry-After: 0.05"));
    BOOST_TEST((boot_now() - begin < 500ms));
}

BOOST_AUTO_TEST_CASE(a_stream_that_has_begun_looks_cut_when_the_host_ends)
{
    // The endpoint holds the connection for a next request
    entry_fixture entry({{.text = stream_head() + chunk(events(1, 2)), .closes = false},
                         {sealed("next")}},
                        {});
    end_requests_when(entry,
                      [&] { return !entry.origins.empty() && entry.sends() == 1; });
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_request_is_taken_during_a_shutdown_if_it_ends_in_time)
{
    auto const service = service_id::of("s");
    for (auto const took : {100ms, 2'000ms})
    {
        entry_fixture entry({{sealed("served")}}, {});
        entry.context.measured_times.on_finished(service, call_kind::unsafe, took);
        entry.context.ends_requests_at = boot_now() + 1s;
        auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
        auto const fits = took < 1s;
        BOOST_TEST(answer.starts_with(fits ? "HTTP/1.1 200" : "HTTP/1.1 503"));
        BOOST_TEST(contains(answer, "X-Outcome: not-run") == !fits);
        BOOST_TEST(entry.sends() == (fits ? 1U : 0U));
    }
}

BOOST_AUTO_TEST_SUITE_END()
