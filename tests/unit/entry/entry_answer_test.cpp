#include <tests/unit/entry/entry_fixture.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

BOOST_AUTO_TEST_SUITE(entry_answers)

// An endpoint wrote an earlier refusal once more, and the caller of the request that it
// was running was told that it had not run
BOOST_AUTO_TEST_CASE(a_second_copy_of_a_refusal_does_not_refuse_the_next_attempt)
{
    entry_fixture entry(
        {{.text = refusal_of("9c41"), .closes = false, .late = refusal_of("9c41")},
         {sealed("done")}},
        {});
    entry.note_leaving(entry.context.dispatch.find(endpoint_id::of("i-1"))->announced);
    auto const answer =
        entry.send_request(http::verb::post, "/unsafe/x", {{"X-Model", "m/a3"}});
    BOOST_TEST(answer.ends_with("done"));
    BOOST_TEST(entry.sends() == 2U);
}

BOOST_AUTO_TEST_CASE(a_refusal_that_names_no_request_is_not_believed_behind_another)
{
    entry_fixture entry(
        {{.text = sealed("first"), .closes = false, .late = refused}, {sealed("late")}},
        {{sealed("second")}});
    entry.send_request(http::verb::post, "/unsafe/x");
    entry.done = false;
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(contains(answer, "X-Outcome: unknown"));
    BOOST_TEST(entry.servers[1]->requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()
