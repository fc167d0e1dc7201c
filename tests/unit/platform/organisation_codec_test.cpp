#include <marjorampath/deployment/route_table.hpp>
#include <marjorampath/organisation/access_key.hpp>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <memory>
#include <platform/store_codec.hpp>
#include <random>
#include <set>
#include <string>

using namespace marjorampath;
namespace json = boost::json;

namespace
{

std::string with_organisations(std::string const& organisations)
{
    return fmt::format(R"({{"version":3,"routes":[],"services":[],"tenants":{}}})",
                       organisations);
}

organisation_list read(std::string const& organisations)
{
    auto const read = platform::read_deployment(with_organisations(organisations));
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read->organisations);
    return *read->organisations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(organisation_codec)

BOOST_AUTO_TEST_CASE(an_organisation_is_read_with_its_keys_priority_and_quota)
{
    auto const list = read(R"([{"name":"hule930","apiKeys":["k-1","k-2"],"priority":1,
        "unit":"tokens","plainTokens":200,"ratePerS":873113,"burst":12.5},
        {"name":"plain","apiKeys":[]}])");
    BOOST_REQUIRE_EQUAL(list.organisations.size(), 2U);
    auto const& first = list.organisations[0];
    BOOST_TEST(first.name == "hule930");
    BOOST_TEST(first.keys.size() == 2U);
    BOOST_TEST((first.priority == 1U));
    BOOST_TEST((first.quota.unit == quota_unit::tokens));
    BOOST_TEST(first.quota.rate == 873'113);
    BOOST_TEST(first.quota.burst == 12.5);
    BOOST_TEST(first.quota.plain_tokens == 200U);
    BOOST_TEST(!list.organisations[1].priority);
    BOOST_TEST(list.problems.empty());
}

// Deployments without organisations are served as before, but an operator who removes the
// last organisation does not open the doors
BOOST_AUTO_TEST_CASE(only_a_configuration_without_the_list_needs_no_keys)
{
    auto const without =
        platform::read_deployment(R"({"version":3,"routes":[],"services":[]})");
    BOOST_TEST(!without->organisations);
    for (auto const* list : {"[]", "null", "{}", "7", "[null]", "[[]]"})
        BOOST_TEST(read(list).organisations.empty(), list);
}

// One broken description neither drops the others nor opens a door
BOOST_AUTO_TEST_CASE(a_broken_organisation_is_left_out_alone)
{
    for (auto const* broken :
         {R"({"apiKeys":["x"]})", R"({"name":"","apiKeys":["x"]})",
          R"({"name":"a b","apiKeys":["x"]})", R"({"name":"a\r\nb","apiKeys":["x"]})",
          R"({"name":"a","apiKeys":"x"})", R"({"name":"a"})",
          R"({"name":"a","apiKeys":["x"],"ratePerS":-1})",
          R"({"name":"a","apiKeys":["x"],"burst":"2"})",
          R"({"name":"a","apiKeys":["x"],"plainTokens":1.5})",
          R"({"name":"a","apiKeys":["x"],"unit":"bytes"})",
          R"({"name":"a","apiKeys":["x"],"unit":3})",
          R"({"name":"a","apiKeys":["x"],"priority":-1})"})
    {
        auto const list = read(fmt::format(R"([{{"name":"first","apiKeys":["1"]}},{},)"
                                           R"({{"name":"last","apiKeys":["2"]}}])",
                                           broken));
        BOOST_REQUIRE_EQUAL(list.organisations.size(), 2U);
        BOOST_TEST(list.organisations[0].name == "first");
        BOOST_TEST(list.organisations[1].name == "last");
        BOOST_REQUIRE_EQUAL(list.problems.size(), 1U);
        BOOST_TEST(list.problems[0].key_digest == 0U);
    }
}

// A key that no caller can send is no reason to refuse the organisation's other callers
BOOST_AUTO_TEST_CASE(an_invalid_key_is_left_out_alone)
{
    std::string const too_long(max_key_bytes + 1, 'k');
    auto const list = read(fmt::format(
        R"([{{"name":"a","apiKeys":["", 7, "good", "with space", "{}"]}}])", too_long));
    BOOST_REQUIRE_EQUAL(list.organisations.size(), 1U);
    BOOST_TEST(list.organisations[0].keys == std::vector<std::string>{"good"});
    BOOST_TEST(list.problems.size() == 4U);
}

// Whatever the bytes, decoding ends, and no key is accepted that was not published
BOOST_AUTO_TEST_CASE(no_sequence_of_bytes_opens_a_door)
{
    auto const text = with_organisations(
        R"([{"name":"a","apiKeys":["k1","k2"],"unit":"tokens","ratePerS":5,"burst":9},)"
        R"({"name":"b","apiKeys":["k3"],"priority":2,"plainTokens":200}])");
    constexpr unsigned seed = 1;
    std::mt19937 random(seed);
    std::size_t parsed = 0;
    for (int round = 0; round < 20'000; ++round)
    {
        auto mutated = text;
        for (auto changes = 1 + random() % 3; changes > 0; --changes)
        {
            auto const at = random() % mutated.size();
            switch (random() % 3)
            {
            case 0:
                mutated[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                mutated.erase(at, 1 + random() % 8);
                break;
            default:
                mutated.insert(at, mutated, random() % mutated.size(), random() % 12);
                break;
            }
        }
        auto read = platform::read_deployment(mutated);
        if (!read)
            continue;
        ++parsed;
        auto const source = std::make_shared<deployment const>(std::move(*read));
        route_table const table(source, seed);
        auto const* directory = table.organisations();
        if (!directory)
        {
            // Only if the name of the list itself was changed
            BOOST_TEST(mutated.find("\"tenants\"") == std::string::npos, mutated);
            continue;
        }
        BOOST_TEST(!directory->find(""));
        for (auto const& each : source->organisations->organisations)
            for (auto const& key : each.keys)
                if (auto const* owner = directory->find(key))
                    BOOST_TEST((owner->name == each.name), mutated);
    }
    BOOST_TEST(parsed > 1'000U, "seed " << seed);
}

BOOST_AUTO_TEST_SUITE_END()
