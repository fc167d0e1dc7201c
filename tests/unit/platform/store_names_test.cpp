#include <serving/remote/remote_error.hpp>
#include <tests/unit/platform/store_fixture.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// Longest key of the store, in bytes
constexpr std::size_t max_key_bytes = 200;

// Names that break a target which holds them as they are
std::vector<std::string> const odd_names{"=",        "?",
                                         "/",        "\\",
                                         "\"",       "&",
                                         "+",        "#",
                                         "a b",      "\t",
                                         "%",        "%x",
                                         "%41",      "a;b",
                                         "\r\nX: y", "",
                                         "\x7f",     std::string(1, '\0'),
                                         "\x01",     "\xc3\xa9",
                                         "\xff\xfe", std::string(189, '%')};

std::string entry_of(std::string const& service)
{
    return boost::json::serialize(boost::json::object{{"service", service},
                                                      {"address", "127.0.0.1:9000"},
                                                      {"zone", "zone-a"},
                                                      {"version", "1"},
                                                      {"slots", 4},
                                                      {"state", "ready"},
                                                      {"coldLeftMs", 0},
                                                      {"sequence", 1}});
}

// A store to which another writer adds entries, and clients that start in the middle
struct named_entries : store_fixture
{
    void write_endpoint(std::string const& name)
    {
        write_item(std::string(platform::endpoint_prefix) + name, entry_of("ledger"));
        endpoints.insert(name);
    }

    void write_odd_entry(std::string const& name)
    {
        write_item(std::string(platform::endpoint_prefix) + name, "other");
    }

    void write_odd_operator_item(std::string const& name)
    {
        write_item(std::string(platform::version_prefix) + name, "other");
    }

    void announce_version(std::string const& name, std::uint64_t version)
    {
        write_item(std::string(platform::version_prefix) + name,
                   platform::version_document("m", name, version));
        versions["m/" + name] = version;
    }

    // What a client that has just started knows equals what the store holds
    void check_new_client()
    {
        auto client = make_client();
        auto const listing = run(client.read_endpoints());
        BOOST_TEST(!listing.error, listing.error.message());
        check_endpoints(listing);
        check_endpoints(platform::store_client::read_relayed_endpoints(listing.relayed));
        auto const update = run(client.read_operator());
        BOOST_TEST(!update.error, update.error.message());
        check_versions(update);

        auto other = make_client();
        check_versions(other.read_relayed_operator(client.relay_operator({})));
    }

    void check_endpoints(serving::endpoint_listing const& listing) const
    {
        std::set<std::string> names;
        for (auto const& each : listing.endpoints)
            BOOST_TEST(names.insert(each.name).second);
        BOOST_TEST(names == endpoints, boost::test_tools::per_element());
    }

    void check_versions(serving::operator_update const& update) const
    {
        std::map<std::string, std::uint64_t> read;
        for (auto const& each : update.versions)
            read[each.adapter] = each.version;
        BOOST_TEST((read == versions));
    }

    std::set<std::string> endpoints;
    std::map<std::string, std::uint64_t> versions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_names, named_entries)

// An entry of another writer at the end of a page hid all entries behind it, or its bytes
// became a field of the request for the next page
BOOST_AUTO_TEST_CASE(an_odd_name_at_the_end_of_a_page_hides_no_other_entry)
{
    constexpr std::size_t most_page_items = 3;
    for (auto const* name : {"!first", "Middle", "e2", "~last"})
        write_endpoint(name);
    announce_version("A", 1);
    announce_version("~z", 2);
    for (auto const& name : odd_names)
    {
        write_odd_entry(name);
        write_odd_operator_item(name);
        for (std::size_t items = 1; items <= most_page_items; ++items)
        {
            set_pages(items, false);
            BOOST_TEST_CONTEXT("name " << fmt::format("{:?}", name) << ", pages of "
                                       << items)
            check_new_client();
        }
    }
}

// As above, for names of any bytes and clients that start between two writes
BOOST_AUTO_TEST_CASE(a_client_knows_what_the_store_holds_whatever_its_names)
{
    constexpr unsigned seed = 7'000;
    constexpr int rounds = 150;
    constexpr std::size_t most_page_items = 5;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 generator(seed);
    auto const draw = [&](std::size_t limit)
    { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(generator); };
    auto const draw_name = [&](std::size_t prefix_bytes, char lowest, std::size_t values)
    {
        std::string name(draw(max_key_bytes - prefix_bytes + 1), '\0');
        for (auto& byte : name)
            byte = static_cast<char>(lowest + static_cast<int>(draw(values)));
        return name;
    };
    announce_version("a", 1);
    for (int round = 0; round < rounds; ++round)
    {
        auto const odd = draw_name(platform::version_prefix.size(), '\0', 256);
        write_odd_entry(odd);
        write_odd_operator_item(odd);
        if (auto const name = draw_name(platform::endpoint_prefix.size(), '!', 94);
            !name.empty())
            write_endpoint(name);
        announce_version(fmt::format("v{}", draw(50)),
                         static_cast<std::uint64_t>(round) + 2);
        set_pages(1 + draw(most_page_items), false);
        BOOST_TEST_CONTEXT("round " << round)
        check_new_client();
    }
}

// A watch passes over a change under an odd name
BOOST_AUTO_TEST_CASE(a_watch_reads_on_behind_an_odd_name)
{
    announce_version("a", 1);
    auto client = make_client();
    auto const first = run(client.read_operator());
    for (auto const& name : odd_names)
        write_odd_operator_item(name);
    announce_version("b", 2);
    auto const update =
        run(client.watch_operator(first.position, std::chrono::milliseconds(0)));
    BOOST_TEST(!update.error);
    BOOST_REQUIRE(update.versions.size() == 1U);
    BOOST_TEST(update.versions[0].adapter == "m/b");

    auto const history = run(client.read_endpoint_history(1, client.operator_complete()));
    BOOST_TEST(!history.error);
}

// Guards against a list of which only the first hundred pages are read (review/9)
BOOST_AUTO_TEST_CASE(a_list_of_many_pages_is_read_to_its_end)
{
    constexpr int items = 250;
    for (int item = 0; item < items; ++item)
    {
        announce_version(fmt::format("a{}", item), 2);
        write_endpoint(fmt::format("e{}", item));
    }
    set_pages(1, false);
    check_new_client();
}

// The first page was read a hundred times, and then nothing was known
BOOST_AUTO_TEST_CASE(what_was_read_of_a_list_that_does_not_advance_is_kept)
{
    write_endpoint("e1");
    write_endpoint("e2");
    write_endpoint("e3");
    repeat_pages(2);
    auto client = make_client();
    auto const listing = run(client.read_endpoints());
    BOOST_TEST((listing.error == serving::remote_error::list_incomplete));
    std::set<std::string> names;
    for (auto const& each : listing.endpoints)
        names.insert(each.name);
    BOOST_TEST((names == std::set<std::string>{"e1", "e2"}));
}

BOOST_AUTO_TEST_SUITE_END()
