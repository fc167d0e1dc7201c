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

BOOST_AUTO_TEST_CASE(events_pass_unchanged_for_every_chunk_size)
{
    auto const stream =
        token_event(1, "a") + ": comment\r\n\r\n" + token_event(2, "b\\\"") + final_event;
    for (std::size_t chunk_size = 1; chunk_size <= stream.size(); ++chunk_size)
    {
        event_stream events;
        std::string output;
        for (std::size_t offset = 0; offset < stream.size(); offset += chunk_size)
            events.push(std::string_view(stream).substr(offset, chunk_size), output);
        BOOST_TEST(output == stream);
        BOOST_TEST((events.state() == event_stream_state::done));
    }
}

BOOST_AUTO_TEST_CASE(only_complete_events_pass)
{
    event_stream events;
    std::string output;
    auto const first = token_event(1, "a");
    auto const second = token_event(2, "b");
    events.push(first + second.substr(0, second.size() - 1), output);
    BOOST_TEST(output == first);
    BOOST_TEST((events.state() == event_stream_state::open));
}

BOOST_AUTO_TEST_CASE(duplicate_events_pass_once)
{
    event_stream events;
    std::string output;
    events.push(token_event(1, "a") + token_event(1, "a") + token_event(2, "b"), output);
    events.resume();
    events.push(token_event(2, "b") + token_event(3, "c") + final_event, output);
    BOOST_TEST(output == token_event(1, "a") + token_event(2, "b") + token_event(3, "c") +
                             final_event);
    BOOST_TEST(events.delivered() == 3u);
}

BOOST_AUTO_TEST_CASE(a_gap_breaks_the_stream_until_it_is_resumed)
{
    event_stream events;
    std::string output;
    events.push(token_event(1, "a") + token_event(3, "c") + final_event, output);
    BOOST_TEST((events.state() == event_stream_state::broken));
    BOOST_TEST(output == token_event(1, "a"));
    BOOST_TEST(events.last_event_id() == 1u);
    events.resume();
    events.push(token_event(2, "b") + token_event(3, "c") + final_event, output);
    BOOST_TEST((events.state() == event_stream_state::done));
}

BOOST_AUTO_TEST_CASE(an_error_event_of_the_engine_is_not_passed_on)
{
    event_stream events;
    std::string output;
    events.push(token_event(1, "a") + "event: error\ndata: {}\n\n" + final_event, output);
    BOOST_TEST((events.state() == event_stream_state::broken));
    BOOST_TEST(output == token_event(1, "a"));
}

BOOST_AUTO_TEST_CASE(a_restart_continues_the_text_and_event_numbers)
{
    event_stream events({.keep_text = true});
    std::string output;
    events.push(token_event(1, "a") + token_event(2, "\\n") + "id: 3\nda", output);
    BOOST_TEST(events.can_restart());
    events.restart();
    BOOST_TEST(events.text_before_restart() == "a\\n");
    BOOST_TEST(events.events_before_restart() == 2u);
    events.push(token_event(1, "c") + final_event, output);
    BOOST_TEST(output == token_event(1, "a") + token_event(2, "\\n") +
                             token_event(3, "c") + final_event);
}

BOOST_AUTO_TEST_CASE(a_stream_with_a_finish_reason_is_not_restarted)
{
    event_stream events({.keep_text = true});
    std::string output;
    events.push(
        "id: 1\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n",
        output);
    BOOST_TEST(!events.can_restart());
}

BOOST_AUTO_TEST_CASE(kept_text_and_incomplete_events_are_limited)
{
    event_stream events({.keep_text = true, .max_text_bytes = 8, .max_event_bytes = 200});
    std::string output;
    events.push(token_event(1, "123456789"), output);
    BOOST_TEST(!events.can_restart());
    events.push("data: " + std::string(300, 'x'), output);
    BOOST_TEST((events.state() == event_stream_state::broken));
}

// A resumption behind a text that was too long to keep repeated its request without the
// part that this request continued
BOOST_AUTO_TEST_CASE(dropped_text_keeps_what_the_present_run_continues)
{
    event_stream events({.keep_text = true, .max_text_bytes = 8});
    std::string output;
    events.push(token_event(1, "ab"), output);
    events.restart();
    events.push(token_event(1, "cd"), output);
    BOOST_TEST(events.held_bytes() == 4u);
    events.push(token_event(2, "12345678"), output);
    BOOST_TEST(!events.can_restart());
    BOOST_TEST(events.text_before_restart() == "ab");
    BOOST_TEST(events.held_bytes() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
