#include <marjorampath/rate_limit/permit_issuer.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

// Window of the users' rule and the part of it that permits may use
constexpr duration window = 4s;

// Permits granted to hosts that ask every `step` for a time
std::vector<time_point> ask(permit_issuer& issuer, endpoint_id endpoint, double rate,
                            time_point from, duration time, duration step)
{
    std::vector<time_point> granted;
    for (auto now = from; now < from + time; now += step)
        if (issuer.take(endpoint, rate, now).granted)
            granted.push_back(now);
    return granted;
}

std::size_t most_in_window(std::vector<time_point> const& times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last)
    {
        while (times[last] - times[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_issuer_tests)

BOOST_AUTO_TEST_CASE(no_window_has_more_permits_than_the_rate_and_a_short_burst)
{
    auto const endpoint = endpoint_id::of("e");
    for (auto const rate : {0.5, 1.0, 3.0, 20.0, 250.0})
    {
        permit_issuer issuer({});
        auto granted = ask(issuer, endpoint, rate, time_point{1'000s}, 8s, 1ms);

        // Unused permits of a minute, all asked for at once
        auto const burst = ask(issuer, endpoint, rate, time_point{1'068s}, 5s, 1ms);
        granted.insert(granted.end(), burst.begin(), burst.end());
        BOOST_TEST(static_cast<double>(most_in_window(granted)) <=
                   rate * 4 + std::max(1.0, rate / 2) + 1);
        BOOST_TEST(static_cast<double>(granted.size()) >= rate * 12);
    }
}

BOOST_AUTO_TEST_CASE(a_new_issuer_begins_without_permits)
{
    permit_issuer issuer({});
    time_point const now{1'000s};
    auto const first = issuer.take(endpoint_id::of("e"), 2.0, now);
    BOOST_TEST(!first.granted);
    BOOST_TEST((first.wait >= 500ms));
    BOOST_TEST(issuer.take(endpoint_id::of("e"), 2.0, now + 501ms).granted);
}

BOOST_AUTO_TEST_CASE(refused_hosts_come_back_one_after_another)
{
    permit_issuer issuer({});
    time_point const now{1'000s};
    duration previous{0};
    for (int host = 0; host < 8; ++host)
    {
        auto const decision = issuer.take(endpoint_id::of("e"), 10.0, now);
        BOOST_TEST(!decision.granted);
        BOOST_TEST((decision.wait >= previous + 99ms));
        previous = decision.wait;
    }
    BOOST_TEST((issuer.take(endpoint_id::of("e"), 0.5, now).wait <= 1s));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_accepts_nothing_is_still_asked_now_and_then)
{
    permit_issuer issuer({});
    auto const granted =
        ask(issuer, endpoint_id::of("e"), 0, time_point{1'000s}, 60s, 10ms);
    BOOST_TEST(granted.size() >= 5u);

    // The users' rule allows five requests in a window at a limit of zero
    BOOST_TEST(most_in_window(granted) <= 5u);
}

BOOST_AUTO_TEST_SUITE_END()
