#include <serving/entry/entry_settings.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::serving;
using namespace std::chrono_literals;

namespace
{

std::string const settings_text = R"(
host: "edge-1"
zone: "z"
callers: "127.0.0.1:8149"
readiness: "127.0.0.1:8141"
readiness_path: "/ready"
relay: "127.0.0.1:8144"
peers: "127.0.0.1:7380"
outgoing: "127.0.0.1"
seeds: ["127.0.0.1:8144","127.0.0.2:8144"]
store: "127.0.0.1:8142"
order_quiet_ms: 3000
grace_s: 8
retry_ratio: 0.2
)";

std::vector<settings_problem> problems_of(std::string const& text)
{
    auto const read = read_entry_settings("f", text);
    auto const* problems = std::get_if<std::vector<settings_problem>>(&read);
    return problems ? *problems : std::vector<settings_problem>();
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_settings_files)

BOOST_AUTO_TEST_CASE(settings_are_read)
{
    auto const read = read_entry_settings("f", settings_text);
    auto const& settings = std::get<entry_settings>(read);
    BOOST_TEST(settings.host == "edge-1");
    BOOST_TEST(settings.seeds.size() == 2u);
    BOOST_TEST(settings.peers.port == 7380);
    BOOST_TEST(settings.outgoing->is_loopback());
    BOOST_TEST((settings.order_quiet == 3s));
    BOOST_TEST((settings.grace == 8s));
}

BOOST_AUTO_TEST_CASE(every_problem_is_reported_with_its_line)
{
    auto const problems =
        problems_of("host: \"\"\nzoen: z\ncallers: here\ngrace_s: -1\noutgoing: x\n");
    std::string all;
    for (auto const& problem : problems)
        all += problem.to_string() + "\n";
    for (auto const* expected :
         {"f:1: host: is empty", "f:2: zoen: is no setting; nearest is `zone`",
          "f:3: callers: is not IP:PORT", "f:4: grace_s: is not a positive time",
          "f:5: outgoing: is not an IPv4 address", "f: store: is missing"})
        BOOST_TEST((all.find(expected) != std::string::npos), expected << " in\n" << all);
}

BOOST_AUTO_TEST_CASE(text_that_is_no_yaml_is_rejected)
{
    BOOST_TEST(problems_of("a: [").size() == 1u);
    BOOST_TEST(problems_of("- 1").size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
