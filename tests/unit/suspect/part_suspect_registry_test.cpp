#include <marjorampath/suspect/part_suspect_registry.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

using part_list = std::vector<prompt_part>;

constexpr std::uint64_t first = 1;
constexpr std::uint64_t other = 2;
constexpr std::uint64_t bad = 3;

time_point at(duration since_start)
{
    return time_point(std::chrono::hours(1) + since_start);
}

part_list parts(std::initializer_list<std::uint64_t> ids)
{
    part_list found;
    for (auto const id : ids)
        found.push_back({.id = id, .tokens = 10});
    return found;
}

// An endpoint crashes while a request with these parts is in flight
void crash(part_suspect_registry& registry, std::uint64_t number, part_list const& held,
           duration since_start)
{
    registry.on_broken(held, number, at(since_start));
    registry.on_crash(number, at(since_start));
}

void exchange_reports(part_suspect_registry& left, part_suspect_registry& right,
                      duration since_start)
{
    for (auto const& report : left.reports(at(since_start)))
        right.merge(report, at(since_start));
    for (auto const& report : right.reports(at(since_start)))
        left.merge(report, at(since_start));
}

bool refused(part_suspect_registry const& registry, part_list const& held,
             duration since_start)
{
    return registry.find_conviction(held, at(since_start)).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(part_suspects)

BOOST_AUTO_TEST_CASE(three_crashes_under_a_part_convict_it_under_any_content)
{
    part_suspect_registry registry({});
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        BOOST_TEST(!refused(registry, parts({first, bad}), number * 1s));
        crash(registry, number, parts({first, number + 100, bad}), number * 1s);
        registry.on_sound(parts({first}), at(number * 1s + 100ms));
    }
    BOOST_TEST(refused(registry, parts({first, bad}), 4s));
    BOOST_TEST(refused(registry, parts({99, bad}), 4s));
    BOOST_TEST(!refused(registry, parts({first, 101}), 4s));
    BOOST_TEST(registry.take_new_convictions() == std::vector<std::uint64_t>{bad},
               boost::test_tools::per_element());
    BOOST_TEST(!refused(registry, parts({first, bad}), 2h));
}

// Engines that lose their power together crash under the parts of all that they run
BOOST_AUTO_TEST_CASE(crashes_at_the_same_moment_count_once)
{
    part_suspect_registry registry({});
    for (std::uint64_t number = 1; number <= 6; ++number)
        crash(registry, number, parts({first, other}), 1s + number * 20ms);
    BOOST_TEST(!refused(registry, parts({first, other}), 2s));
}

BOOST_AUTO_TEST_CASE(a_part_that_was_answered_since_is_not_convicted)
{
    part_suspect_registry registry({});
    for (std::uint64_t number = 1; number <= 10; ++number)
    {
        crash(registry, number, parts({first}), number * 1s);
        if (number % 2 == 0)
            registry.on_sound(parts({first}), at(number * 1s + 500ms));
    }
    BOOST_TEST(!refused(registry, parts({first}), 11s));
}

// Two parts that were in flight at the same crashes cannot be told apart; a request with
// one of them may still be sound
BOOST_AUTO_TEST_CASE(a_request_without_all_parts_of_the_crashes_tells_which_one_it_is)
{
    part_suspect_registry registry({});
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(registry, number, parts({other, bad}), number * 1s);
    BOOST_TEST(refused(registry, parts({other, bad}), 4s));
    BOOST_TEST(!refused(registry, parts({other}), 4s));
    BOOST_TEST(!refused(registry, parts({bad}), 4s));

    // One more crash without the other part leaves one explanation
    crash(registry, 4, parts({bad}), 5s);
    BOOST_TEST(refused(registry, parts({bad}), 6s));
    BOOST_TEST(!refused(registry, parts({other}), 6s));
    registry.on_sound(parts({other}), at(7s));
    BOOST_TEST(refused(registry, parts({other, bad}), 8s));
}

BOOST_AUTO_TEST_CASE(only_known_crashes_count_and_only_for_requests_that_were_in_flight)
{
    part_suspect_registry registry({});
    for (std::uint64_t number = 1; number <= 5; ++number)
        registry.on_broken(parts({bad}), number, at(number * 1s));
    BOOST_TEST(!refused(registry, parts({bad}), 6s));

    // Two of the endpoints answer, the others have crashed; known 3 s later
    registry.on_alive(1);
    registry.on_alive(2);
    for (std::uint64_t number = 1; number <= 4; ++number)
        registry.on_crash(number, at(7s));
    BOOST_TEST(!refused(registry, parts({bad}), 7s));
    registry.on_crash(5, at(7s));
    BOOST_TEST(refused(registry, parts({bad}), 7s));

    // Sent to a process that is known to have ended
    registry.on_broken(parts({other}), 3, at(7s));
    BOOST_TEST(registry.on_crash(3, at(7s)).empty());
}

BOOST_AUTO_TEST_CASE(hosts_add_up_their_crashes_and_count_a_common_one_once)
{
    part_suspect_registry here({});
    part_suspect_registry there({});
    crash(here, 1, parts({bad}), 1s);
    crash(there, 1, parts({bad}), 1s);
    crash(there, 2, parts({bad}), 2s);
    exchange_reports(here, there, 3s);
    BOOST_TEST(!refused(here, parts({bad}), 3s));
    crash(here, 3, parts({bad}), 4s);
    exchange_reports(here, there, 5s);
    BOOST_TEST(refused(here, parts({bad}), 5s));
    BOOST_TEST(refused(there, parts({bad}), 5s));

    // A host that starts later learns of it as long as it is in force
    part_suspect_registry started({});
    exchange_reports(there, started, 30min);
    BOOST_TEST(refused(started, parts({bad}), 30min));
}

// A part that is rare at one host and common at another
BOOST_AUTO_TEST_CASE(a_sound_answer_at_one_host_refutes_crashes_at_another)
{
    part_suspect_registry here({});
    part_suspect_registry there({});
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(here, number, parts({other}), number * 1s);
    BOOST_TEST(refused(here, parts({other}), 4s));
    there.on_sound(parts({other}), at(3500ms));
    exchange_reports(here, there, 4s);
    exchange_reports(here, there, 4200ms);
    BOOST_TEST(!refused(here, parts({other}), 5s));
    BOOST_TEST(!refused(there, parts({other}), 5s));
}

BOOST_AUTO_TEST_CASE(reports_are_bounded_and_name_convictions_first)
{
    part_suspect_registry registry({});
    constexpr std::uint64_t many = 1'000;
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        part_list held = parts({many + 1});
        for (std::uint64_t id = 0; id < many; ++id)
            held.push_back({.id = id * 3 + number, .tokens = 1});
        crash(registry, number, held, number * 1s);
    }
    auto const reports = registry.reports(at(4s));
    BOOST_TEST(reports.size() == part_suspect_options().max_spread_records);
    BOOST_TEST(reports.front().part == many + 1);
}

BOOST_AUTO_TEST_SUITE_END()
