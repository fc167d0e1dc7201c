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

BOOST_AUTO_TEST_CASE(two_crashes_convict_and_a_finished_content_is_cleared)
{
    suspect_registry registry({});
    registry.on_grant(request_id(1), poison, first);
    registry.on_grant(request_id(2), innocent, first);
    BOOST_TEST(registry.on_crash(at(0s), wall, first, 1).size() == 2U);
    BOOST_TEST((registry.check_restriction(at(0s), innocent) == run_restriction::alone));

    registry.on_grant(request_id(3), innocent, second);
    BOOST_TEST((registry.check_restriction(at(0s), innocent) == run_restriction::wait));
    registry.on_end(request_id(3), true);
    BOOST_TEST((registry.check_restriction(at(0s), innocent) == run_restriction::none));

    registry.on_grant(request_id(4), poison, second);
    registry.on_crash(at(1s), wall + 1s, second, 1);
    BOOST_TEST(
        (registry.check_restriction(at(1s), poison) == run_restriction::convicted));
    BOOST_TEST((registry.check_restriction(at(2h), poison) == run_restriction::none));
}

// Hosts that had just started convicted a popular content, and all others refused it too
BOOST_AUTO_TEST_CASE(a_content_that_has_finished_here_is_not_convicted_by_other_hosts)
{
    suspect_registry here({});
    here.on_grant(request_id(1), innocent, first);
    here.on_end(request_id(1), true);
    here.merge(at(1s), {.fingerprint = innocent,
                        .first_crash = 1,
                        .second_crash = 2,
                        .crashed_at = wall,
                        .remaining = 1min});
    BOOST_TEST((here.check_restriction(at(1s), innocent) == run_restriction::none));
    BOOST_TEST(here.convictions(at(1s)).empty());
}

// A content that is requested often is in flight at most crashes, whatever caused them
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
        BOOST_TEST(
            (here.check_restriction(at(crash * 1s), innocent) == run_restriction::none));
    }

    // Nor if another host, which has not seen it finish, reports a crash
    there.on_grant(request_id(++request), innocent, first);
    there.on_crash(at(9s), wall + 9s, first, 9);
    here.merge(at(9s), there.convictions(at(9s)).front());
    BOOST_TEST((here.check_restriction(at(9s), innocent) == run_restriction::none));
}

// Engines with hundreds of requests in flight crash. The reports are part of every
// heartbeat of every host, so their number has to stay bounded.
BOOST_AUTO_TEST_CASE(reports_stay_bounded_when_busy_engines_crash)
{
    constexpr std::uint64_t in_flight = 576;
    suspect_options const options;
    suspect_registry here(options);
    suspect_registry there(options);
    for (std::uint64_t request = 1; request <= in_flight; ++request)
        here.on_grant(request_id(request), fingerprint_id(request), first);
    here.on_crash(at(0s), wall, first, 1);
    auto const reported = here.convictions(at(1s));
    BOOST_TEST(reported.size() == options.max_spread_records);

    // A host that only received a report does not repeat it, and reports expire
    for (auto const& each : reported)
        there.merge(at(1s), each);
    BOOST_TEST(there.convictions(at(1s)).empty());
    BOOST_TEST((there.check_restriction(at(1s), reported.front().fingerprint) ==
                run_restriction::alone));
    BOOST_TEST(here.convictions(at(1s + options.spread_time)).empty());

    // A conviction is reported first, by all hosts, for as long as it is in force
    there.on_grant(request_id(in_flight + 1), reported.front().fingerprint, second);
    there.on_crash(at(2s), wall + 2s, second, 1);
    here.merge(at(2s), there.convictions(at(2s)).front());
    BOOST_REQUIRE(!here.convictions(at(60s)).empty());
    BOOST_TEST(here.convictions(at(60s)).front().second_crash != 0U);
}

BOOST_AUTO_TEST_CASE(an_unproven_content_runs_at_most_twice_at_a_time)
{
    suspect_registry registry({});
    registry.on_grant(request_id(1), poison, first);
    BOOST_TEST((registry.check_restriction(at(0s), poison) == run_restriction::none));
    registry.on_grant(request_id(2), poison, second);
    BOOST_TEST((registry.check_restriction(at(0s), poison) == run_restriction::wait));
    registry.on_crash(at(0s), wall, first, 1);
    registry.on_crash(at(0s), wall, second, 1);
    BOOST_TEST(
        (registry.check_restriction(at(0s), poison) == run_restriction::convicted));
}

BOOST_AUTO_TEST_CASE(reports_of_two_hosts_convict_but_a_repeated_report_does_not)
{
    suspect_registry here({});
    suspect_registry there({});
    here.on_grant(request_id(1), poison, first);
    here.on_crash(at(0s), wall, first, 1);
    there.merge(at(0s), here.convictions(at(0s)).front());
    there.merge(at(0s), here.convictions(at(0s)).front());
    BOOST_TEST((there.check_restriction(at(0s), poison) == run_restriction::alone));
    there.on_grant(request_id(2), poison, second);
    there.on_crash(at(1s), wall + 1s, second, 1);
    here.merge(at(1s), there.convictions(at(1s)).front());
    BOOST_TEST((here.check_restriction(at(1s), poison) == run_restriction::convicted));
}

BOOST_AUTO_TEST_CASE(a_release_overrides_an_old_report_but_not_a_new_crash)
{
    suspect_registry registry({});
    registry.on_grant(request_id(1), poison, first);
    registry.on_crash(at(0s), wall, first, 1);
    auto const old_report = registry.convictions(at(0s)).front();
    registry.release(at(1s), {poison, wall + 1s, 1h});
    registry.merge(at(2s), old_report);
    BOOST_TEST((registry.check_restriction(at(2s), poison) == run_restriction::none));
    registry.on_grant(request_id(2), poison, first);
    registry.on_crash(at(3s), wall + 3s, first, 2);
    BOOST_TEST((registry.check_restriction(at(3s), poison) == run_restriction::alone));
}

BOOST_AUTO_TEST_SUITE_END()
