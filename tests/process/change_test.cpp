#include <tests/process/process_fleet.hpp>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

using namespace marjorampath::test;

namespace
{

// Whether a request is answered with a version of the adapter
bool answers_with_version(process_fleet& fleet, std::string const& version)
{
    auto const answer = fleet.complete("lot-1", "which", 2, false);
    return answer.text() == expected_text("lot-1@" + version, "which", 2);
}

// Whether all requests within one second are answered with a version
bool keeps_version(process_fleet& fleet, std::string const& version)
{
    auto const until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1000);
    while (std::chrono::steady_clock::now() < until)
        if (!answers_with_version(fleet, version))
            return false;
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(changes)

BOOST_AUTO_TEST_CASE(a_new_sheet_takes_effect_within_seconds_and_an_older_one_never)
{
    process_fleet fleet({});
    BOOST_TEST(answers_with_version(fleet, "v1"));
    fleet.publish_sheet(5, "v2");
    BOOST_TEST(eventually([&] { return answers_with_version(fleet, "v2"); },
                          std::chrono::seconds(5)));
    fleet.publish_sheet(4, "v3");
    BOOST_TEST(keeps_version(fleet, "v2"));
    fleet.publish_sheet(6, "v3", "nobody,lot-1,v3\n");
    BOOST_TEST(keeps_version(fleet, "v2"));
    fleet.publish_sheet(7, "v4");
    BOOST_TEST(eventually([&] { return answers_with_version(fleet, "v4"); },
                          std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(an_unavailable_configuration_service_changes_nothing)
{
    process_fleet fleet({});
    process_fleet::set(fleet.configuration(), R"({"down":true})");
    BOOST_TEST(keeps_version(fleet, "v1"));
    fleet.publish_sheet(2, "v2");
    process_fleet::set(fleet.configuration(), R"({"down":false})");
    BOOST_TEST(eventually([&] { return answers_with_version(fleet, "v2"); },
                          std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_CASE(requests_keep_their_version_while_the_sheet_changes)
{
    process_fleet fleet({.engine_arguments = {"--token-ms", "10"}});
    test_client caller(fleet.node().address());
    caller.send("POST", "/dossier/v1/completions",
                completion_body("lot-1", "long", 200, true));
    BOOST_REQUIRE(caller.read_events(2));
    fleet.publish_sheet(2, "v2");
    BOOST_TEST(eventually([&] { return answers_with_version(fleet, "v2"); },
                          std::chrono::seconds(5)));
    auto const answer = caller.read_answer();
    BOOST_TEST(answer.looks_complete());
    BOOST_TEST(answer.text() == expected_text("lot-1@v1", "long", 200));
    BOOST_TEST(fleet.engine_records("violation", "unload-while-serving").empty());
}

BOOST_AUTO_TEST_CASE(slots_go_to_the_versions_of_the_new_sheet)
{
    process_fleet fleet({.engines = 1});
    constexpr int adapters = 4;
    auto const complete_all = [&](std::string const& version, int rounds)
    {
        for (int index = 0; index < adapters * rounds; ++index)
        {
            auto const adapter = fmt::format("lot-{}", index % adapters);
            auto const answer = fleet.complete(adapter, "slots", 2, false);
            BOOST_TEST(answer.text() ==
                       expected_text(fmt::format("{}@{}", adapter, version), "slots", 2));
        }
    };
    complete_all("v1", 10);
    fleet.publish_sheet(2, "v2");
    BOOST_REQUIRE(eventually([&] { return answers_with_version(fleet, "v2"); }));

    // Four adapters fit into four slots, so that the old versions must not be loaded
    // again
    complete_all("v2", 10);
    std::size_t loads = 0;
    for (auto const& line : fleet.engine_records("order", "load"))
        loads += line.at("model").as_string().ends_with("@v2") ? 1 : 0;
    BOOST_TEST(loads <= 2U * adapters);
}

BOOST_AUTO_TEST_CASE(a_graceful_shutdown_interrupts_no_stream)
{
    process_fleet fleet({.engine_arguments = {"--token-ms", "10"},
                         .node_settings = "shutdown_notice_ms: 200\n"});
    std::vector<std::unique_ptr<test_client>> callers;
    for (int index = 0; index < 6; ++index)
    {
        callers.push_back(std::make_unique<test_client>(fleet.node().address()));
        callers.back()->send(
            "POST", "/dossier/v1/completions",
            completion_body("lot-1", fmt::format("{}", index), 150, true));
    }
    for (auto const& each : callers)
        BOOST_REQUIRE(each->read_events(2));
    fleet.node().signal(SIGTERM);
    for (int index = 0; index < 6; ++index)
    {
        auto const answer = callers[static_cast<std::size_t>(index)]->read_answer();
        BOOST_TEST(answer.looks_complete());
        BOOST_TEST(answer.text() ==
                   expected_text("lot-1@v1", fmt::format("{}", index), 150));
    }
    callers.clear();
    auto const status = fleet.node().wait(std::chrono::seconds(10));
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(*status == 0);
}

// Its stream lasts longer than the notice; this node has no end of the grace
BOOST_AUTO_TEST_CASE(a_request_that_comes_late_in_a_shutdown_is_answered_whole)
{
    process_fleet fleet({.engine_arguments = {"--token-ms", "10"},
                         .node_settings = "shutdown_notice_ms: 1000\n"});
    fleet.node().signal(SIGTERM);
    auto const stops = [&]
    { return call(fleet.node().address(), "GET", "/readyz").status != 200; };
    BOOST_REQUIRE(eventually(stops));
    auto const answer = fleet.complete("lot-1", "late", 150, true);
    BOOST_TEST(answer.looks_complete());
    BOOST_TEST(answer.text() == expected_text("lot-1@v1", "late", 150));
    auto const status = fleet.node().wait(std::chrono::seconds(10));
    BOOST_TEST((status && *status == 0));
}

BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_new_requests_after_three_seconds)
{
    process_fleet fleet({});
    BOOST_TEST(answers_with_version(fleet, "v1"));
    fleet.publish_hosts("engine-0");
    // Three seconds after the announcement no request may reach it any more
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    std::this_thread::sleep_until(deadline);
    auto const before = process_fleet::records(fleet.engine(0)).size();
    for (int index = 0; index < 40; ++index)
    {
        auto const adapter = fmt::format("lot-{}", index % 8);
        auto const answer = fleet.complete(adapter, "leaving", 3, false);
        BOOST_TEST(answer.text() == expected_text(adapter + "@v1", "leaving", 3));
    }
    auto const after = process_fleet::records(fleet.engine(0));
    auto const new_records =
        std::count_if(after.begin() + static_cast<std::ptrdiff_t>(before), after.end(),
                      [](auto const& line)
                      {
                          return line.contains("outcome") ||
                                 (line.contains("order") && line.at("order") == "load");
                      });
    BOOST_TEST(new_records == 0);
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_operation_is_not_retried)
{
    process_fleet fleet({});
    process_fleet::set(fleet.service(), R"({"break_after":1})");
    auto const lost =
        call(fleet.node().address(), "POST", "/services/custody/transfers/bale-1", "{}");
    BOOST_TEST(lost.status >= 500u);
    BOOST_TEST(lost.outcome == "unknown");
    auto const executed = [&](std::string const& target)
    {
        auto const lines = process_fleet::records(fleet.service());
        return std::count_if(lines.begin(), lines.end(),
                             [&](auto const& line)
                             { return line.at("target") == boost::json::value(target); });
    };
    BOOST_TEST(executed("/transfers/bale-1") == 1);

    // An idempotent request is retried and answered
    process_fleet::set(fleet.service(), R"({"break_after":1})");
    auto const looked_up =
        call(fleet.node().address(), "GET", "/services/custody/bale-1");
    BOOST_TEST(looked_up.status == 200u);
    BOOST_TEST(executed("/bale-1") == 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_engines_is_refused_and_others_finish)
{
    process_fleet fleet({.engines = 3,
                         .engine_arguments = {"--token-ms", "5", "--dead-ms", "300",
                                              "--crash-on", "POISON"}});
    std::vector<std::future<test_answer>> answers;
    for (int index = 0; index < 9; ++index)
        answers.push_back(std::async(std::launch::async,
                                     [&fleet, index] {
                                         return fleet.complete(
                                             "lot-1", fmt::format("prompt {}", index),
                                             200, true);
                                     }));
    BOOST_TEST(eventually(
        [&]
        {
            return call(fleet.engine(0).address(), "GET", "/load")
                       .body.find("\"running\":0") == std::string::npos;
        }));
    for (int repetition = 0; repetition < 4; ++repetition)
    {
        auto const answer = fleet.complete("lot-1", "POISON", 5, false);
        BOOST_TEST(answer.status >= 400u);
        BOOST_TEST(!answer.kind.empty());
    }
    BOOST_TEST(fleet.engine_records("outcome", "poison").size() <= 2u);
    for (int index = 0; index < 9; ++index)
    {
        auto const answer = answers[static_cast<std::size_t>(index)].get();
        BOOST_TEST(answer.looks_complete(), answer.status << " " << answer.body);
        BOOST_TEST(answer.text() ==
                   expected_text("lot-1@v1", fmt::format("prompt {}", index), 200));
    }
}

BOOST_AUTO_TEST_SUITE_END()
