#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <platform/standin/operator_documents.hpp>
#include <string>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

std::string const not_repeatable = platform::standin_deployment{}.unsafe + "x";

header_fields fields_of(std::string const& attempt)
{
    return {{"Host", platform::standin_deployment{}.host},
            {"X-Attempt-Id", attempt},
            {"X-Deadline-Ms", "60000"}};
}

// The head of a request without its last line
std::string begun_head(std::string const& attempt)
{
    std::string head = "POST " + not_repeatable + " HTTP/1.1\r\nContent-Length: 0\r\n";
    for (auto const& [name, value] : fields_of(attempt))
        head += fmt::format("{}: {}\r\n", name, value);
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_stops)

// Such requests were cut with no answer
BOOST_AUTO_TEST_CASE(a_request_that_runs_at_the_end_of_the_grace_is_answered)
{
    entry_process entry({.work_time = 60s, .grace = 4s});
    test_client client(entry.node().address());
    client.send("POST", not_repeatable, "", fields_of("a1"));
    BOOST_REQUIRE(eventually([&] { return entry.has_run("a1"); }));
    entry.node().signal(SIGTERM);
    auto const answer = client.read_answer();
    BOOST_TEST(answer.ended);
    BOOST_TEST(answer.status == 502U);
    BOOST_TEST(answer.outcome == "unknown");
    auto const status = entry.node().wait(10s);
    BOOST_TEST((status && *status == 0));
}

// It was passed on, and cut at the end of the grace
BOOST_AUTO_TEST_CASE(
    a_request_whose_run_does_not_fit_into_the_grace_is_refused_as_not_run)
{
    entry_process entry({.work_time = 2s, .grace = 4s});

    // The node learns how long requests take
    std::vector<std::unique_ptr<test_client>> earlier;
    for (int index = 0; index < 3; ++index)
    {
        earlier.push_back(std::make_unique<test_client>(entry.node().address()));
        earlier.back()->send("POST", not_repeatable, "",
                             fields_of(fmt::format("e{}", index)));
    }
    for (auto const& each : earlier)
        BOOST_TEST(each->read_answer().status == 200U);

    test_client late(entry.node().address());
    late.send_raw(begun_head("late"));
    entry.node().signal(SIGTERM);
    BOOST_REQUIRE(eventually([&] { return !entry.takes_callers(); }));
    late.send_raw("\r\n");
    auto const answer = late.read_answer();
    BOOST_TEST(answer.ended);
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(answer.outcome == "not-run");
    BOOST_TEST(!entry.has_run("late"));
    auto const status = entry.node().wait(10s);
    BOOST_TEST((status && *status == 0));
}

BOOST_AUTO_TEST_SUITE_END()
