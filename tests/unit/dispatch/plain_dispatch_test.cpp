#include <marjorampath/dispatch/dispatcher.hpp>
#include <tests/unit/dispatch/mock_engines.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

// An endpoint of a plain service
struct plain_fixture
{
    plain_fixture()
    {
        dispatch.on_endpoint(mock_engine_event(0), now);
    }

    [[nodiscard]] call make_call(duration time_left) const
    {
        return {.id = request_id(1),
                .service = mock_service(),
                .kind = call_kind::unsafe,
                .objective = 1s,
                .arrived = now,
                .deadline = now + time_left};
    }

    time_point now{1'000s};
    dispatcher dispatch{zone_id::of("z"), {.seed = 7}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(plain_dispatch, plain_fixture)

// Behind a burst that the endpoints refused, routes with a short timeout were not served
// for seconds although the endpoints were idle
BOOST_AUTO_TEST_CASE(refusals_of_the_past_do_not_make_a_deadline_unreachable)
{
    for (int refusal = 0; refusal < 30; ++refusal)
    {
        auto const request = make_call(4s);
        dispatch.on_sent(request, mock_engine(0), now);
        dispatch.on_ended(request, mock_engine(0), attempt_end::refused, false, now);
    }
    auto const decision = dispatch.decide(make_call(900ms), {}, now);
    BOOST_TEST((decision.action == dispatch_action::send));
}

BOOST_AUTO_TEST_CASE(a_request_that_would_wait_beyond_its_deadline_is_refused_at_once)
{
    dispatch.on_others_in_flight(mock_engine(0), 64 * 5);
    auto const decision = dispatch.decide(make_call(900ms), {}, now);
    BOOST_TEST((decision.action == dispatch_action::refuse));
    BOOST_TEST((decision.reason == error_kind::deadline_unreachable));
    BOOST_TEST((decision.retry_after > 0s));
}

BOOST_AUTO_TEST_SUITE_END()
