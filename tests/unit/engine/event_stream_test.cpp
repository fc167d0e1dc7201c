#include <serving/engine/event_stream.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace marjorampath::serving;

namespace
{

std::string token_event(unsigned id, std::string_view text)
{
    return fmt::format(
        "id: {}\ndata: {{\"choices\":[{{\"text\":\"{}\",\"finish_reason\":null}}]}}\n\n",
        id, text);
}

std::string const final_event = "data: [DONE]\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(event_stream_test)

BOOST_AUTO_TEST_CASE(events_pass_unchanged_however_they_are_cut)
{
    auto const whole =
        token_event(1, "a") + ": comment\r\n\r\n" + token_event(2, "b\\\"") + final_event;
    for (std::size_t piece = 1; piece <= whole.size(); ++piece)
    {
        event_stream events;
        std::string passed;
        for (std::size_t at = 0; at < whole.size(); at += piece)
            events.push(std::string_view(whole).substr(at, piece), passed);
        BOOST_TEST(passed == whole);
        BOOST_TEST((events.state() == event_stream_state::done));
    }
}

BOOST_AUTO_TEST_CASE(only_whole_events_pass)
{
    event_stream events;
    std::string passed;
    auto const first = token_event(1, "a");
    auto const second = token_event(2, "b");
    events.push(first + second.substr(0, second.size() - 1), passed);
    BOOST_TEST(passed == first);
    BOOST_TEST((events.state() == event_stream_state::open));
}

BOOST_AUTO_TEST_CASE(doubled_events_pass_once)
{
    event_stream events;
    std::string passed;
    events.push(token_event(1, "a") + token_event(1, "a") + token_event(2, "b"), passed);
    events.resume();
    events.push(token_event(2, "b") + token_event(3, "c") + final_event, passed);
    BOOST_TEST(passed == token_event(1, "a") + token_event(2, "b") + token_event(3, "c") +
                             final_event);
    BOOST_TEST(events.delivered() == 3u);
}

BOOST_AUTO_TEST_CASE(a_gap_breaks_the_stream_until_it_is_resumed)
{
    event_stream events;
    std::string passed;
    events.push(token_event(1, "a") + token_event(3, "c") + final_event, passed);
    BOOST_TEST((events.state() == event_stream_state::broken));
    BOOST_TEST(passed == token_event(1, "a"));
    BOOST_TEST(events.last_event_id() == 1u);
    events.resume();
    events.push(token_event(2, "b") + token_event(3, "c") + final_event, passed);
    BOOST_TEST((events.state() == event_stream_state::done));
}

BOOST_AUTO_TEST_CASE(an_error_of_the_engine_is_not_passed_on)
{
    event_stream events;
    std::string passed;
    events.push(token_event(1, "a") + "event: error\ndata: {}\n\n" + final_event, passed);
    BOOST_TEST((events.state() == event_stream_state::broken));
    BOOST_TEST(passed == token_event(1, "a"));
}

BOOST_AUTO_TEST_CASE(a_restart_continues_text_and_numbers)
{
    event_stream events({.keep_text = true});
    std::string passed;
    events.push(token_event(1, "a") + token_event(2, "\\n") + "id: 3\nda", passed);
    BOOST_TEST(events.can_restart());
    events.restart();
    BOOST_TEST(events.text_before_restart() == "a\\n");
    BOOST_TEST(events.events_before_restart() == 2u);
    events.push(token_event(1, "c") + final_event, passed);
    BOOST_TEST(passed == token_event(1, "a") + token_event(2, "\\n") +
                             token_event(3, "c") + final_event);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_generation_ended_is_not_restarted)
{
    event_stream events({.keep_text = true});
    std::string passed;
    events.push(
        "id: 1\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n",
        passed);
    BOOST_TEST(!events.can_restart());
}

BOOST_AUTO_TEST_CASE(kept_text_and_single_events_are_bounded)
{
    event_stream events({.keep_text = true, .max_text_bytes = 8, .max_event_bytes = 200});
    std::string passed;
    events.push(token_event(1, "123456789"), passed);
    BOOST_TEST(!events.can_restart());
    events.push("data: " + std::string(300, 'x'), passed);
    BOOST_TEST((events.state() == event_stream_state::broken));
}

BOOST_AUTO_TEST_SUITE_END()
