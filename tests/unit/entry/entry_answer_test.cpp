#include <tests/unit/entry/entry_fixture.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// A stream of two events that breaks off within the third
std::string broken_stream()
{
    return stream_head() + chunk(events(1, 2)) + chunk("id: 3\nda");
}

// The beginnings of an answer that end within its head
std::vector<std::string> cut_heads(std::string const& answer)
{
    std::vector<std::string> cuts;
    auto const head_size = answer.find("\r\n\r\n") + 4;
    for (std::size_t size = 1; size < head_size; ++size)
        cuts.push_back(answer.substr(0, size));
    return cuts;
}

// An answer whose length is the end of the connection
std::string const unframed_answer =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n\r\nwhole";

} // namespace

BOOST_AUTO_TEST_SUITE(entry_answers)

// Elsewhere callers got a success with an empty body, framed as whole
BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_in_its_head_never_looks_whole)
{
    for (auto const& whole : {sealed("whole"), unframed_answer, stream_head()})
        for (auto const& cut : cut_heads(whole))
            for (auto const* path : {"/unsafe/x", "/stream/x"})
            {
                entry_fixture entry({{cut}}, {});
                auto const answer = entry.send_request(http::verb::post, path);
                BOOST_TEST(answer.starts_with("HTTP/1.1 502"), cut);
                BOOST_TEST(contains(answer, "X-Outcome: unknown"), cut);
                BOOST_TEST(!contains(answer, "X-Server-Seal"), cut);
            }
}

BOOST_AUTO_TEST_CASE(a_second_answer_on_a_connection_that_is_cut_in_its_head_is_not_whole)
{
    for (auto const& whole : {sealed("second"), unframed_answer})
        for (auto const& cut : cut_heads(whole))
        {
            entry_fixture entry({{.text = sealed("first"), .closes = false}, {cut}}, {});
            BOOST_TEST(
                entry.send_request(http::verb::post, "/unsafe/x").ends_with("first"));
            entry.done = false;
            auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
            BOOST_TEST(answer.starts_with("HTTP/1.1 502"), cut);
            BOOST_TEST(contains(answer, "X-Outcome: unknown"), cut);
        }
}

// An answer to another request goes before the one that is cut
BOOST_AUTO_TEST_CASE(an_answer_behind_a_foreign_one_that_is_cut_in_its_head_is_not_whole)
{
    for (auto const& cut : cut_heads(sealed("mine")))
    {
        entry_fixture entry({{sealed("foreign", {}, "other") + cut}}, {});
        auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"), cut);
        BOOST_TEST(!contains(answer, "foreign"), cut);
    }
}

// An endpoint wrote an earlier refusal once more, and the caller of the request that it
// was running was told that it had not run
BOOST_AUTO_TEST_CASE(a_second_copy_of_a_refusal_does_not_refuse_the_next_attempt)
{
    entry_fixture entry(
        {{.text = refusal_of("9c41"), .closes = false, .late = refusal_of("9c41")},
         {sealed("done")}},
        {});
    entry.note_leaving(entry.context.dispatch.find(endpoint_id::of("i-1"))->announced);
    auto const answer =
        entry.send_request(http::verb::post, "/unsafe/x", {{"X-Model", "m/a3"}});
    BOOST_TEST(answer.ends_with("done"));
    BOOST_TEST(entry.sends() == 2U);
}

BOOST_AUTO_TEST_CASE(a_refusal_that_names_no_request_is_not_believed_behind_another)
{
    entry_fixture entry(
        {{.text = sealed("first"), .closes = false, .late = refused}, {sealed("late")}},
        {{sealed("second")}});
    entry.send_request(http::verb::post, "/unsafe/x");
    entry.done = false;
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(contains(answer, "X-Outcome: unknown"));
    BOOST_TEST(entry.servers[1]->requests.empty());
}

// The text of an error, or its head, stood among the events of a stream
BOOST_AUTO_TEST_CASE(no_byte_of_an_error_enters_a_stream_that_has_begun)
{
    auto const body = std::string("{\"error\":\n\n \"no room\"}\n\n");
    auto const answer_of =
        [](std::string const& status, std::string const& more, std::string const& text)
    {
        return fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n"
                           "Content-Type: application/json\r\n{}\r\n{}",
                           status, more, text);
    };
    auto const length = fmt::format("Content-Length: {}\r\n", body.size());
    std::string const chunked = "Transfer-Encoding: chunked\r\n";
    auto const chunks = chunk(body) + chunk("");
    std::string const failed = "500 Internal Server Error";
    std::string const not_run = "503 Service Unavailable\r\nX-Not-Executed: 1";
    for (auto const& error :
         {answer_of(failed, length, body), answer_of(failed, "", body),
          answer_of(failed, chunked, chunks), answer_of(not_run, length, body),
          answer_of(not_run, "", body), answer_of("200 OK", length, body),
          answer_of("200 OK", "", body), answer_of("200 OK", chunked, chunks),
          answer_of(failed, length, body).substr(0, 60), body, stream_head() + chunks})
    {
        entry_fixture entry({{broken_stream()}}, {{error}});
        auto const answer = entry.send_request(http::verb::post, "/resumable/x");
        BOOST_TEST(contains(answer, events(1, 1)), error);
        BOOST_TEST(contains(answer, "id: 2"), error);
        BOOST_TEST(!contains(answer, "no room"), error);
        BOOST_TEST(!contains(answer, "error"), error);
        BOOST_TEST(!contains(answer.substr(9), "HTTP/1.1"), error);
        BOOST_TEST(!answer.ends_with("0\r\n\r\n"), error);
    }
}

// Such an answer was kept until the attempt timed out, with a processor busy all the
// time, and its endpoint got the next requests
BOOST_AUTO_TEST_CASE(an_answer_with_an_endless_line_between_chunks_ends_at_once)
{
    for (auto const* part : {"1;", "0\r\nX: "})
    {
        auto const text = stream_head() + part + std::string(40'000, 'a');
        entry_fixture entry({{.text = text, .closes = false}}, {{sealed("second")}});
        auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"), part);
        BOOST_TEST(contains(answer, "unknown"), part);
        entry.done = false;
        auto const next = entry.send_request(http::verb::post, "/unsafe/x");
        BOOST_TEST(next.ends_with("second"), next);
        BOOST_TEST(entry.servers[0]->requests.size() == 1U, part);
    }
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_no_answer)
{
    std::string interim;
    for (int index = 0; index < 10'000; ++index)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    entry_fixture entry({{.text = interim, .closes = false}}, {});
    auto const begin = boot_now();
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer);
    BOOST_TEST((boot_now() - begin < 1s));
}

BOOST_AUTO_TEST_CASE(bytes_behind_a_whole_answer_are_not_kept_or_used)
{
    auto const text = sealed("whole") + std::string(1'000'000, 'x');
    entry_fixture entry({{.text = text, .closes = false}, {sealed("next")}}, {});
    BOOST_TEST(entry.send_request(http::verb::post, "/unsafe/x").ends_with("whole"));
    entry.done = false;
    BOOST_TEST(entry.send_request(http::verb::post, "/unsafe/x").ends_with("next"));
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_without_end_is_not_skipped_for_long)
{
    auto const foreign = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n1;" +
                         std::string(1'000'000, 'a');
    entry_fixture entry({{.text = foreign, .closes = false}}, {});
    auto const begin = boot_now();
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer);
    BOOST_TEST((boot_now() - begin < 1s));
}

BOOST_AUTO_TEST_CASE(events_before_invalid_bytes_are_not_missing)
{
    std::string const endless(300'000, 'x');
    entry_fixture entry({{stream_head() + chunk(events(1, 2) + endless)}},
                        {{stream_head() + chunk(events(3, 4)) + chunk("")}});
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    for (auto const* event : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"})
        BOOST_TEST(contains(answer, event), event);
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
