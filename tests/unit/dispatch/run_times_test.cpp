#include <marjorampath/dispatch/run_times.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

service_id const service = service_id::of("s");
constexpr duration unknown = 700ms;

} // namespace

BOOST_AUTO_TEST_SUITE(measured_run_times)

BOOST_AUTO_TEST_CASE(a_kind_without_an_ended_request_has_the_given_time)
{
    run_times times;
    BOOST_TEST((times.expected(service, call_kind::safe, unknown) == unknown));
    times.on_finished(service, call_kind::unsafe, 1s);
    BOOST_TEST((times.expected(service, call_kind::safe, unknown) == unknown));
    BOOST_TEST((times.expected(service, call_kind::unsafe, unknown) == 2s));
}

BOOST_AUTO_TEST_CASE(equal_times_are_expected_again)
{
    run_times times;
    for (int index = 0; index < 100; ++index)
        times.on_finished(service, call_kind::unsafe, 400ms);
    BOOST_TEST((times.expected(service, call_kind::unsafe, unknown) - 400ms < 1ms));
}

// Nine of ten requests end within the expected time; a stream that can go on elsewhere
// needs only its mean
BOOST_AUTO_TEST_CASE(most_requests_end_within_the_expected_time)
{
    run_times times;
    for (int index = 0; index < 1'000; ++index)
        for (auto const kind : {call_kind::stream, call_kind::continuable_stream})
            times.on_finished(service, kind,
                              100ms + std::chrono::milliseconds(index * 7 % 200));
    auto const most = times.expected(service, call_kind::stream, unknown);
    BOOST_TEST((most > 270ms));
    BOOST_TEST((most < 350ms));
    auto const mean = times.expected(service, call_kind::continuable_stream, unknown);
    BOOST_TEST((mean > 150ms));
    BOOST_TEST((mean < 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
