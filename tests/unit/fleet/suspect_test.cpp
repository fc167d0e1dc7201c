#include <marjorampath/suspect/suspect_registry.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

endpoint_id const first = endpoint_id::of("first");
endpoint_id const second = endpoint_id::of("second");
fingerprint_id const poison = fingerprint_id::of("poison");
fingerprint_id const innocent = fingerprint_id::of("innocent");
wall_milliseconds const wall(1'700'000'000'000);

time_point at(duration since_start)
{
    return time_point(std::chrono::hours(1) + since_start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_suspects)

BOOST_AUTO_TEST_CASE(two_crashes_convict_and_innocents_go_free)
{
    suspect_registry registry({});
    registry.on_grant(request_id(1), poison, first);
    registry.on_grant(request_id(2), innocent, first);
    BOOST_TEST(registry.on_crash(at(0s), wall, first, 1).size() == 2U);
    BOOST_TEST((registry.judge(at(0s), innocent) == suspicion::alone));

    registry.on_grant(request_id(3), innocent, second);
    BOOST_TEST((registry.judge(at(0s), innocent) == suspicion::wait));
    registry.on_end(request_id(3), true);
    BOOST_TEST((registry.judge(at(0s), innocent) == suspicion::none));

    registry.on_grant(request_id(4), poison, second);
    registry.on_crash(at(1s), wall + 1s, second, 1);
    BOOST_TEST((registry.judge(at(1s), poison) == suspicion::convicted));
    BOOST_TEST((registry.judge(at(2h), poison) == suspicion::none));
}

// A popular content is in flight at most crashes
BOOST_AUTO_TEST_CASE(a_content_that_has_finished_is_not_suspected)
{
    suspect_registry here({});
    suspect_registry there({});
    here.on_grant(request_id(1), innocent, second);
    here.on_end(request_id(1), true);
    std::uint64_t request = 1;
    for (std::uint64_t crash = 1; crash <= 5; ++crash)
    {
        here.on_grant(request_id(++request), innocent, first);
        BOOST_TEST(
            here.on_crash(at(crash * 1s), wall + crash * 1s, first, crash).empty());
        BOOST_TEST((here.judge(at(crash * 1s), innocent) == suspicion::none));
    }

    // Nor where another host, which has seen no answer yet, tells of a crash
    there.on_grant(request_id(++request), innocent, first);
    there.on_crash(at(9s), wall + 9s, first, 9);
    here.merge(at(9s), there.convictions(at(9s)).front());
    BOOST_TEST((here.judge(at(9s), innocent) == suspicion::none));
}

// The load pattern: engines with hundreds of requests die. What is told of it travels in
// every last_heartbeat of every host.
BOOST_AUTO_TEST_CASE(what_is_told_stays_small_when_busy_engines_die)
{
    constexpr std::uint64_t in_flight = 576;
    suspect_options const options;
    suspect_registry here(options);
    suspect_registry there(options);
    for (std::uint64_t request = 1; request <= in_flight; ++request)
        here.on_grant(request_id(request), fingerprint_id(request), first);
    here.on_crash(at(0s), wall, first, 1);
    auto const told = here.convictions(at(1s));
    BOOST_TEST(told.size() == options.max_spread_records);

    // Who only heard of it does not repeat it, and it is told for a while only
    for (auto const& each : told)
        there.merge(at(1s), each);
    BOOST_TEST(there.convictions(at(1s)).empty());
    BOOST_TEST((there.judge(at(1s), told.front().fingerprint) == suspicion::alone));
    BOOST_TEST(here.convictions(at(1s + options.spread_time)).empty());

    // A conviction is told first, by everyone, for as long as it is in force
    there.on_grant(request_id(in_flight + 1), told.front().fingerprint, second);
    there.on_crash(at(2s), wall + 2s, second, 1);
    here.merge(at(2s), there.convictions(at(2s)).front());
    BOOST_REQUIRE(!here.convictions(at(60s)).empty());
    BOOST_TEST(here.convictions(at(60s)).front().second_crash != 0U);
}

BOOST_AUTO_TEST_CASE(an_unproven_content_runs_at_most_twice_at_a_time)
{
    suspect_registry registry({});
    registry.on_grant(request_id(1), poison, first);
    BOOST_TEST((registry.judge(at(0s), poison) == suspicion::none));
    registry.on_grant(request_id(2), poison, second);
    BOOST_TEST((registry.judge(at(0s), poison) == suspicion::wait));
    registry.on_crash(at(0s), wall, first, 1);
    registry.on_crash(at(0s), wall, second, 1);
    BOOST_TEST((registry.judge(at(0s), poison) == suspicion::convicted));
}

BOOST_AUTO_TEST_CASE(reports_of_two_hosts_convict_and_one_told_twice_does_not)
{
    suspect_registry here({});
    suspect_registry there({});
    here.on_grant(request_id(1), poison, first);
    here.on_crash(at(0s), wall, first, 1);
    there.merge(at(0s), here.convictions(at(0s)).front());
    there.merge(at(0s), here.convictions(at(0s)).front());
    BOOST_TEST((there.judge(at(0s), poison) == suspicion::alone));
    there.on_grant(request_id(2), poison, second);
    there.on_crash(at(1s), wall + 1s, second, 1);
    here.merge(at(1s), there.convictions(at(1s)).front());
    BOOST_TEST((here.judge(at(1s), poison) == suspicion::convicted));
}

BOOST_AUTO_TEST_CASE(a_release_beats_old_news_and_not_a_new_crash)
{
    suspect_registry registry({});
    registry.on_grant(request_id(1), poison, first);
    registry.on_crash(at(0s), wall, first, 1);
    auto const old_news = registry.convictions(at(0s)).front();
    registry.release(at(1s), {poison, wall + 1s, 1h});
    registry.merge(at(2s), old_news);
    BOOST_TEST((registry.judge(at(2s), poison) == suspicion::none));
    registry.on_grant(request_id(2), poison, first);
    registry.on_crash(at(3s), wall + 3s, first, 2);
    BOOST_TEST((registry.judge(at(3s), poison) == suspicion::alone));
}

BOOST_AUTO_TEST_SUITE_END()
