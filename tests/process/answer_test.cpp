#include <tests/process/process_fleet.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <future>
#include <vector>

using namespace marjorampath::test;

namespace
{

// For long answers, so that they are not refused for the sheet's deadline
header_fields const long_deadline{{"X-Deadline-Ms", "600000"}};

// A caller's answer must be whole and its own
void check_whole(test_answer const& answer, std::string const& model,
                 std::string const& prompt, std::uint32_t tokens)
{
    BOOST_TEST(answer.status == 200u, answer.body);
    BOOST_TEST(answer.looks_complete());
    BOOST_TEST(answer.text() == expected_text(model, prompt, tokens));
    BOOST_TEST(!answer.request_id.empty());
}

// An answer that is not whole must say so, with a kind and an outcome
void check_whole_or_clear(test_answer const& answer, std::string const& model,
                          std::string const& prompt, std::uint32_t tokens)
{
    if (answer.looks_complete())
        BOOST_TEST(answer.text() == expected_text(model, prompt, tokens));
    else if (answer.status == 200)
        BOOST_TEST(answer.body.find("event: error") != std::string::npos, answer.body);
    else
        BOOST_TEST((!answer.kind.empty() && !answer.outcome.empty()), answer.body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(each_caller_gets_its_whole_answer)
{
    process_fleet fleet({});
    check_whole(fleet.complete("lot-1", "first", 5, false), "lot-1@v1", "first", 5);
    check_whole(fleet.complete("lot-2", "second", 9, true), "lot-2@v1", "second", 9);
    auto const echo = call(fleet.node().address(), "POST", "/services/custody/echo?a=1",
                           std::string("\0bytes\xff", 7));
    BOOST_TEST(echo.status == 200u);
    BOOST_TEST(echo.body == std::string("\0bytes\xff", 7));
}

BOOST_AUTO_TEST_CASE(many_callers_of_more_adapters_than_slots_get_their_own_answers)
{
    process_fleet fleet({.engines = 1, .engine_arguments = {"--token-ms", "1"}});
    constexpr int callers = 32;
    constexpr int adapters = 8;
    std::vector<std::future<test_answer>> answers;
    for (int index = 0; index < callers; ++index)
        answers.push_back(
            std::async(std::launch::async,
                       [&fleet, index]
                       {
                           auto const adapter = fmt::format("lot-{}", index % adapters);
                           return fleet.complete(adapter, fmt::format("prompt {}", index),
                                                 20, index % 2 == 0);
                       }));
    for (int index = 0; index < callers; ++index)
        check_whole(answers[static_cast<std::size_t>(index)].get(),
                    fmt::format("lot-{}@v1", index % adapters),
                    fmt::format("prompt {}", index), 20);
    // Adapters had to be evicted, and none that was serving
    BOOST_TEST(!fleet.engine_records("order", "unload").empty());
    BOOST_TEST(fleet.engine_records("violation", "unload-while-serving").empty());
}

BOOST_AUTO_TEST_CASE(concurrent_requests_share_one_load)
{
    process_fleet fleet({.engines = 1, .store_arguments = {"--load-ms", "300"}});
    std::vector<std::future<test_answer>> answers;
    for (int index = 0; index < 6; ++index)
        answers.push_back(
            std::async(std::launch::async,
                       [&fleet] { return fleet.complete("lot-3", "shared", 3, false); }));
    for (auto& each : answers)
        check_whole(each.get(), "lot-3@v1", "shared", 3);
    BOOST_TEST(fleet.engine_records("order", "load").size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_stream_that_an_engine_cuts_is_still_whole)
{
    process_fleet fleet({});
    process_fleet::set(fleet.engine(0), R"({"cut_streams":1,"cut_after":4})");
    process_fleet::set(fleet.engine(1), R"({"cut_streams":1,"cut_after":4})");
    check_whole(fleet.complete("lot-1", "to be cut", 30, true), "lot-1@v1", "to be cut",
                30);
    BOOST_TEST(!fleet.engine_records("outcome", "cut").empty());
}

BOOST_AUTO_TEST_CASE(a_whole_answer_that_an_engine_cuts_is_run_again)
{
    process_fleet fleet({});
    process_fleet::set(fleet.engine(0), R"({"cut_answers":1})");
    process_fleet::set(fleet.engine(1), R"({"cut_answers":1})");
    check_whole(fleet.complete("lot-1", "again", 6, false), "lot-1@v1", "again", 6);
    BOOST_TEST(!fleet.engine_records("outcome", "cut").empty());
}

BOOST_AUTO_TEST_CASE(an_engine_that_restarts_empty_cuts_no_answer_that_looks_whole)
{
    process_fleet fleet({.engine_arguments = {"--token-ms", "10", "--dead-ms", "300"}});
    constexpr int callers = 8;
    std::vector<std::future<test_answer>> answers;
    for (int index = 0; index < callers; ++index)
        answers.push_back(std::async(std::launch::async,
                                     [&fleet, index] {
                                         return fleet.complete(
                                             "lot-1", fmt::format("prompt {}", index),
                                             100, true);
                                     }));
    BOOST_TEST(eventually(
        [&]
        {
            return call(fleet.engine(0).address(), "GET", "/load")
                       .body.find("\"running\":0") == std::string::npos;
        }));
    call(fleet.engine(0).address(), "POST", "/standin/crash");
    int whole = 0;
    for (int index = 0; index < callers; ++index)
    {
        auto const answer = answers[static_cast<std::size_t>(index)].get();
        check_whole_or_clear(answer, "lot-1@v1", fmt::format("prompt {}", index), 100);
        whole += answer.looks_complete() ? 1 : 0;
    }
    BOOST_TEST(whole == callers);

    // The engine is used again, with the adapter loaded anew
    check_whole(fleet.complete("lot-1", "afterwards", 5, false), "lot-1@v1", "afterwards",
                5);
}

BOOST_AUTO_TEST_CASE(a_failed_load_is_tried_again)
{
    process_fleet fleet({});
    process_fleet::set(fleet.engine(0), R"({"load_failures":1})");
    process_fleet::set(fleet.engine(1), R"({"load_failures":1})");
    auto const answer = fleet.complete("lot-5", "load", 4, false);
    check_whole(answer, "lot-5@v1", "load", 4);
}

BOOST_AUTO_TEST_CASE(loads_that_always_fail_are_told_as_not_run)
{
    process_fleet fleet({});
    process_fleet::set(fleet.engine(0), R"({"load_failures":100000})");
    process_fleet::set(fleet.engine(1), R"({"load_failures":100000})");
    auto const answer =
        call(fleet.node().address(), "POST", "/dossier/v1/completions",
             completion_body("lot-5", "load", 4, false), {{"X-Deadline-Ms", "2000"}});
    BOOST_TEST(answer.status >= 500u);
    BOOST_TEST(answer.outcome == "not-run");
    BOOST_TEST(!answer.kind.empty());
    BOOST_TEST(fleet.engine_records("outcome", "finished").empty());
}

BOOST_AUTO_TEST_CASE(a_caller_that_goes_away_ends_the_work_at_the_engine)
{
    process_fleet fleet({.engine_arguments = {"--token-ms", "20"}});
    test_client caller(fleet.node().address());
    caller.send("POST", "/dossier/v1/completions",
                completion_body("lot-1", "gone", 5000, true), long_deadline);
    BOOST_REQUIRE(caller.read_events(3));
    caller.close();
    BOOST_TEST(
        eventually([&] { return !fleet.engine_records("outcome", "cancelled").empty(); },
                   std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_slow_reader_costs_bounded_memory_and_gets_the_whole_answer)
{
    // A long adapter name makes the answer far larger than the buffers of the sockets
    process_fleet fleet({.engines = 1, .engine_arguments = {"--token-ms", "0"}});
    std::string const name(500, 'n');
    fleet.publish_sheet(2, "v2", "dossier," + name + ",v2\n");
    BOOST_REQUIRE(eventually(
        [&] { return fleet.complete(name, "warm", 5, true).looks_complete(); }));
    constexpr std::uint32_t tokens = 20'000;
    constexpr std::size_t allowed_growth = 8'000'000;
    auto const before = fleet.node().resident_bytes();

    test_client caller(fleet.node().address());
    caller.send("POST", "/dossier/v1/completions",
                completion_body(name, "slow", tokens, true), long_deadline);
    BOOST_REQUIRE_MESSAGE(caller.read_events(1),
                          caller.read_answer().body.substr(0, 200));
    // The engine has generated everything, about 30 MB, while the caller does not read
    bool const grew = eventually(
        [&] { return fleet.node().resident_bytes() > before + allowed_growth; },
        std::chrono::milliseconds(700));
    BOOST_TEST(!grew);
    auto const answer = caller.read_answer();
    BOOST_TEST(answer.looks_complete());
    BOOST_TEST((answer.text() == expected_text(name + "@v2", "slow", tokens)));
}

BOOST_AUTO_TEST_SUITE_END()
