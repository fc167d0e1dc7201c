#include <serving/settings/settings_file.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath::serving;

namespace
{

std::string const valid = "host: entry-1\n"
                          "zone: a\n"
                          "region: south\n"
                          "callers: 127.0.0.1:0\n"
                          "configuration_service: 127.0.0.1:7001\n"
                          "host_list: 127.0.0.1:7002\n";

// The problems as lines
std::string problems_of(std::string const& text)
{
    auto const read = read_settings("node.yaml", text);
    auto const* problems = std::get_if<std::vector<settings_problem>>(&read);
    std::string lines;
    if (problems)
        for (auto const& problem : *problems)
            lines += problem.to_string() + '\n';
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_file_test)

BOOST_AUTO_TEST_CASE(settings_survive_being_printed)
{
    auto const text = valid + "limits:\n  max_attempts: 7\n  idle_timeout_ms: 1500\n"
                              "policy:\n  loads_per_second: 2.5\n  profile: ennstal\n";
    auto const read = read_settings("node.yaml", text);
    BOOST_REQUIRE(read.index() == 0u);
    auto const& settings = std::get<node_settings>(read);
    BOOST_TEST(settings.limits.max_attempts == 7u);
    BOOST_TEST(settings.policy.loads_per_second == 2.5);

    auto const shown = format_settings(settings);
    auto const again = read_settings("shown.yaml", shown);
    BOOST_REQUIRE(again.index() == 0u);
    BOOST_TEST(format_settings(std::get<node_settings>(again)) == shown);
}

BOOST_AUTO_TEST_CASE(problems_name_their_place)
{
    BOOST_TEST(problems_of(valid + "zome: b\n") ==
               "node.yaml:7: zome: is no setting; nearest is `zone`\n");
    BOOST_TEST(problems_of(valid + "limits:\n  max_atempts: 3\n") ==
               "node.yaml:8: limits.max_atempts: is no setting; nearest is "
               "`limits.max_attempts`\n");
    BOOST_TEST(problems_of(valid + "traffic_threads: 0\n") ==
               "node.yaml:7: traffic_threads: `0` is not a number from 1 to 64\n");
    BOOST_TEST(problems_of(valid + "limits: 3\n").starts_with("node.yaml:7: limits:"));
    BOOST_TEST(problems_of(valid + "zone: b\n") == "node.yaml:7: zone: stands twice\n");
    BOOST_TEST(problems_of("host: [").starts_with("node.yaml:1: "));
    BOOST_TEST(problems_of("text") == "node.yaml: is not a map of settings\n");
    BOOST_TEST(problems_of("host: a\n").find("node.yaml: callers: is missing") !=
               std::string::npos);
    BOOST_TEST(problems_of(valid + "policy:\n  profile: other\n") ==
               "node.yaml:8: policy.profile: `other` is not ennstal or trazalgodon\n");
}

BOOST_AUTO_TEST_SUITE_END()
