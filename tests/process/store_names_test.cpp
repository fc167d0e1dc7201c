#include <serving/remote/request_target.hpp>
#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <platform/standin/operator_documents.hpp>
#include <platform/store_codec.hpp>
#include <string>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// Whether a node serves a safe request
bool serves(entry_process& entry, std::string const& attempt)
{
    platform::standin_deployment const deployment;
    return call(entry.node().address(), "GET", deployment.safe + "x", {},
                {{"Host", deployment.host},
                 {"X-Attempt-Id", attempt},
                 {"X-Deadline-Ms", "2000"}})
               .status == 200U;
}

void write_item(entry_process const& entry, std::string const& key)
{
    auto const target =
        serving::request_target("/standin/put").add_parameter("key", key).text();
    BOOST_REQUIRE(call(entry.store(), "PUT", target, "other").status == 200U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_names)

// A node that started while an entry of another writer stood at the end of a page of the
// list of endpoints served nothing
BOOST_AUTO_TEST_CASE(a_node_that_starts_beside_entries_with_odd_names_serves)
{
    std::vector<std::string> const names{
        "a&b", "a+b", "a b", "a\tb",     "a\r\nX: y", "a;b", "a%x", "%",   "a=b", "a?b",
        "a/b", "\\",  "\"",  "\xc3\xa9", "\x7f",      "%41", "a#b", "zz&", "zz ", "zz%"};
    entry_process entry({});
    for (auto const& name : names)
    {
        write_item(entry, std::string(platform::endpoint_prefix) + name);
        write_item(entry, std::string(platform::version_prefix) + name);
    }
    for (int items = 1; items <= 3; ++items)
    {
        BOOST_REQUIRE(
            call(entry.store(), "PUT", fmt::format("/standin/pages?items={}", items))
                .status == 200U);
        entry.restart_node();
        BOOST_TEST_CONTEXT("pages of " << items)
        {
            BOOST_TEST(entry.becomes_ready());
            BOOST_TEST(serves(entry, fmt::format("r{}", items)));
        }
    }
}

// A node that started while the second page of the list could not be read served nothing
BOOST_AUTO_TEST_CASE(a_node_that_reads_only_the_first_page_serves_with_what_it_has)
{
    entry_process entry({});
    write_item(entry, std::string(platform::endpoint_prefix) + "zz");
    write_item(entry, std::string(platform::version_prefix) + "zz");
    for (auto const* pages : {"items=1&later_fail=1", "items=1&repeat=1"})
    {
        BOOST_REQUIRE(
            call(entry.store(), "PUT", fmt::format("/standin/pages?{}", pages)).status ==
            200U);
        entry.restart_node();
        BOOST_TEST_CONTEXT(pages)
        {
            BOOST_TEST(entry.becomes_ready());
            BOOST_TEST(serves(entry, fmt::format("r-{}", pages)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
