#include <tests/unit/cell/cell_harness.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace marjorampath;
using marjorampath::testing::cell_harness;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(cell_decisions)

BOOST_AUTO_TEST_CASE(a_cold_adapter_is_loaded_once_for_all_that_wait)
{
    cell_harness harness(low_stall_profile(), 3, 2, 8);
    std::vector<request_id> requests;
    for (int index = 0; index < 5; ++index)
        requests.push_back(harness.ask("cold"));
    BOOST_TEST(harness.load_orders("cold") == 1);
    for (auto const request : requests)
        BOOST_TEST(!harness.granted_at(request));
    harness.finish_orders();
    for (auto const request : requests)
        BOOST_TEST(static_cast<bool>(harness.granted_at(request)));
}

BOOST_AUTO_TEST_CASE(a_plain_service_needs_no_load_and_takes_the_least_loaded)
{
    cell_harness harness(low_stall_profile(), 2, 0, 2);
    auto const first = harness.ask("");
    auto const second = harness.ask("");
    BOOST_TEST((harness.granted_at(first) != harness.granted_at(second)));
    BOOST_TEST(harness.tested.counts().loads == 0);
    harness.ask("");
    harness.ask("");
    auto const waiting = harness.ask("");
    BOOST_TEST(!harness.granted_at(waiting));
    harness.release(first);
    BOOST_TEST((harness.granted_at(waiting) == harness.granted_at(first)));
}

BOOST_AUTO_TEST_CASE(a_serving_adapter_is_not_evicted_for_a_waiting_one)
{
    cell_harness harness(low_stall_profile(), 1, 1, 8);
    auto const serving = harness.ask("serving");
    harness.finish_orders();
    auto const waiting = harness.ask("waiting");
    harness.advance(2s);
    BOOST_TEST(harness.tested.counts().unloads == 0);
    harness.release(serving);
    BOOST_TEST(harness.tested.counts().unloads == 1);
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(waiting)));
}

BOOST_AUTO_TEST_CASE(an_adapter_that_fits_nowhere_does_not_hold_others_up)
{
    // The hot adapter is on both engines, and its queue still wants more copies
    auto options = low_stall_profile();
    options.token_time = 1s;
    cell_harness harness(options, 2, 3, 1);
    for (int index = 0; index < 6; ++index)
        harness.ask("hot", "team", 1h);
    for (int round = 0; round < 4; ++round)
    {
        harness.finish_orders();
        harness.advance(1s);
    }
    BOOST_TEST(harness.load_orders("hot") == 2);
    harness.ask("cold", "team", 1h);
    harness.advance(1s);
    BOOST_TEST(harness.load_orders("cold") == 1);
}

BOOST_AUTO_TEST_CASE(a_suspect_runs_alone)
{
    cell_harness harness(low_stall_profile(), 1, 2, 8);
    auto const before = harness.ask("adapter");
    harness.finish_orders();
    grant_request suspect;
    suspect.team = team_id::of("team");
    suspect.adapter = cell_harness::adapter("adapter");
    suspect.isolated = true;
    suspect.deadline = harness.now + 30s;
    auto const alone = harness.ask(suspect);
    auto const after = harness.ask("adapter");
    BOOST_TEST(!harness.granted_at(alone));
    BOOST_TEST(!harness.granted_at(after));
    harness.release(before);
    BOOST_TEST(static_cast<bool>(harness.granted_at(alone)));
    BOOST_TEST(!harness.granted_at(after));
    harness.release(alone);
    BOOST_TEST(static_cast<bool>(harness.granted_at(after)));
}

BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_grant_and_its_adapter_moves)
{
    cell_harness harness(low_stall_profile(), 2, 2, 8);
    auto const first = harness.ask("adapter");
    harness.finish_orders();
    auto const place = harness.granted_at(first);
    auto leaving = harness.endpoints.at(place).report;
    leaving.leaving = true;
    harness.report(leaving);
    auto const second = harness.ask("adapter");
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(second)));
    BOOST_TEST((harness.granted_at(second) != place));
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_gets_no_answer)
{
    cell_harness harness(low_stall_profile(), 1, 1, 1);
    auto const request = harness.ask("adapter");
    harness.tested.on_cancel(request, harness.now, harness.out);
    harness.apply();
    harness.finish_orders();
    BOOST_TEST(!harness.granted_at(request));
    BOOST_TEST(harness.refused(request) == nullptr);
    BOOST_TEST(harness.tested.counts().queued == 0);
}

BOOST_AUTO_TEST_CASE(what_cannot_finish_in_time_is_refused_when_that_is_known)
{
    auto options = low_stall_profile();
    options.token_time = 20ms;
    cell_harness harness(options, 1, 1, 1);
    auto const first = harness.ask("adapter");
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(first)));

    // Its run would not end before its deadline
    auto const hopeless = harness.ask("adapter", "team", 100ms);
    BOOST_REQUIRE(harness.refused(hopeless) != nullptr);
    BOOST_TEST((harness.refused(hopeless)->reason == error_kind::deadline_unreachable));

    // It could have, but the one before it runs too long
    auto const late = harness.ask("adapter", "team", 5s);
    BOOST_TEST(harness.refused(late) == nullptr);
    harness.advance(5s);
    BOOST_REQUIRE(harness.refused(late) != nullptr);
    BOOST_TEST((harness.refused(late)->reason == error_kind::deadline_unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
