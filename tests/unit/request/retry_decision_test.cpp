#include <marjorampath/request/retry_decision.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;

namespace
{

bool gives_up_with(retry_step const& step, error_kind kind)
{
    return step.act == retry_action::give_up && step.kind == kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_decision_test)

BOOST_AUTO_TEST_CASE(a_request_that_was_never_written_is_answered_not_run)
{
    retry_decision decision({.idempotent = false, .max_attempts = 2});
    BOOST_TEST((decision.on_connect_failed().act == retry_action::request_new_grant));
    BOOST_TEST(gives_up_with(decision.on_connect_failed(), error_kind::no_endpoint));
    BOOST_TEST(gives_up_with(decision.on_deadline(), error_kind::deadline_unreachable));
}

BOOST_AUTO_TEST_CASE(a_refusal_by_the_endpoint_proves_that_it_did_not_run)
{
    retry_decision decision({.idempotent = false});
    decision.on_writing();
    BOOST_TEST((decision.on_endpoint_refused().act == retry_action::request_new_grant));
    BOOST_TEST(!decision.may_have_run());
    auto const step =
        decision.on_grant_refused(error_kind::queue_full, std::chrono::seconds(2));
    BOOST_TEST(gives_up_with(step, error_kind::queue_full));
    BOOST_TEST((step.retry_after == std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_never_repeated_after_its_first_byte)
{
    retry_decision decision({.idempotent = false});
    decision.on_writing();
    BOOST_TEST(gives_up_with(decision.on_interrupted(error_kind::endpoint_lost),
                             error_kind::endpoint_lost));
}

BOOST_AUTO_TEST_CASE(not_run_is_not_said_after_an_earlier_attempt_may_have_run)
{
    retry_decision decision({.idempotent = true});
    decision.on_writing();
    BOOST_TEST((decision.on_interrupted(error_kind::endpoint_lost).act ==
                retry_action::request_new_grant));
    auto const step = decision.on_grant_refused(error_kind::no_endpoint, {});
    BOOST_TEST(gives_up_with(step, error_kind::endpoint_lost));
    BOOST_TEST(gives_up_with(decision.on_deadline(), error_kind::deadline_exceeded));
}

BOOST_AUTO_TEST_CASE(a_cut_stream_is_resumed_then_restarted)
{
    retry_decision decision({.idempotent = true, .resumable = true});
    decision.on_writing();
    decision.on_delivered(true);
    BOOST_TEST(
        (decision.on_interrupted(error_kind::endpoint_lost).act == retry_action::resume));
    BOOST_TEST((decision.on_resume_refused().act == retry_action::request_new_grant));
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_be_continued_is_given_up_on)
{
    retry_decision decision({.idempotent = true, .resumable = false});
    decision.on_writing();
    decision.on_delivered(false);
    BOOST_TEST(gives_up_with(decision.on_interrupted(error_kind::endpoint_lost),
                             error_kind::endpoint_lost));
}

BOOST_AUTO_TEST_CASE(attempts_are_bounded)
{
    retry_decision decision({.idempotent = true, .resumable = true, .max_attempts = 3});
    decision.on_writing();
    decision.on_delivered(true);
    unsigned steps = 1;
    while (decision.on_interrupted(error_kind::endpoint_lost).act !=
           retry_action::give_up)
        ++steps;
    BOOST_TEST(steps == 3u);
}

BOOST_AUTO_TEST_SUITE_END()
