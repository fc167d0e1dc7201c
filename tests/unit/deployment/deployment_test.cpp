#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/deployment/route_table.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

route make_route(std::string const& prefix, std::string const& service)
{
    return {.name = prefix,
            .host = "a.example",
            .prefix = prefix,
            .services = {{.service = service_id::of(service), .weight = 1}}};
}

endpoint_announcement announce(std::string const& name, std::uint64_t revision,
                               std::uint64_t started_at_ms = 1)
{
    return {.id = endpoint_id::of(name),
            .name = name,
            .revision = revision,
            .started_at_ms = started_at_ms,
            .address = "127.0.0.1",
            .port = 1};
}

time_point at(duration time)
{
    return time_point(1'000s) + time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(deployments)

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins)
{
    auto source = std::make_shared<deployment>();
    source->routes = {make_route("/a/", "one"), make_route("/a/b/", "two"),
                      make_route("/", "root")};
    route_table const table(source);
    BOOST_TEST(table.find("a.example", "/a/b/c")->name == "/a/b/");
    BOOST_TEST(table.find("a.example", "/a/bc")->name == "/a/");
    BOOST_TEST(table.find("a.example", "/a/b")->name == "/a/");
    BOOST_TEST(table.find("a.example", "/z")->name == "/");
    BOOST_TEST(!table.find("b.example", "/a/b/c"));
    BOOST_TEST(!table.find("a.example", ""));
}

BOOST_AUTO_TEST_CASE(requests_are_distributed_by_weight)
{
    auto split = make_route("/a/", "one");
    split.services = {{.service = service_id::of("one"), .weight = 90},
                      {.service = service_id::of("two"), .weight = 10}};
    std::map<service_id, int> counts;
    for (std::uint64_t draw = 0; draw < 1'000; ++draw)
        ++counts[choose_service(split, draw)];
    BOOST_TEST(counts[service_id::of("one")] == 900);
    BOOST_TEST(counts[service_id::of("two")] == 100);
}

BOOST_AUTO_TEST_CASE(an_older_listing_changes_nothing)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), 10, {announce("e", 10)});
    BOOST_TEST(catalog.apply_listing(at(1s), 9, {}).empty());
    BOOST_TEST(catalog.find(endpoint_id::of("e")));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_said_it_leaves_stays_leaving_until_its_next_process)
{
    endpoint_catalog catalog({});
    auto const id = endpoint_id::of("e");
    catalog.apply_listing(at(0s), 10, {announce("e", 10)});
    auto const event = catalog.note_leaving(id, 1, at(1s));
    BOOST_REQUIRE(event.has_value());
    BOOST_TEST((event->change == endpoint_change::draining));
    BOOST_TEST(event->endpoint.draining);
    BOOST_TEST(!catalog.note_leaving(id, 1, at(1s)).has_value());

    // A later listing that still has it as ready, and one in which it lapsed before
    catalog.apply_listing(at(2s), 11, {announce("e", 11)});
    BOOST_TEST(catalog.find(id)->draining);
    catalog.apply_listing(at(3s), 12, {});
    BOOST_TEST(!catalog.find(id));
    catalog.apply_listing(at(4s), 13, {announce("e", 13)});
    BOOST_TEST(catalog.find(id)->draining);

    catalog.apply_listing(at(5s), 14, {announce("e", 14, 2)});
    BOOST_TEST(!catalog.find(id)->draining);
    // A late answer of the process before
    BOOST_TEST(!catalog.note_leaving(id, 1, at(6s)).has_value());
    BOOST_TEST(!catalog.find(id)->draining);
}

BOOST_AUTO_TEST_CASE(a_listing_that_was_relayed_late_does_not_set_the_age_back)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(2s), 10, {announce("e", 10)});
    catalog.apply_listing(at(1s), 10, {announce("e", 10)});
    BOOST_TEST((catalog.listed_at() == at(2s)));
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_stays_draining_until_it_restarts)
{
    endpoint_catalog catalog({});
    auto leaving = announce("e", 11);
    leaving.draining = true;
    catalog.apply_listing(at(0s), 10, {announce("e", 10)});
    auto const events = catalog.apply_listing(at(1s), 11, {leaving});
    BOOST_REQUIRE(events.size() == 1u);
    BOOST_TEST((events[0].change == endpoint_change::draining));

    catalog.apply_listing(at(1500ms), 12, {announce("e", 12)});
    BOOST_TEST(catalog.find(endpoint_id::of("e"))->draining);
    catalog.apply_listing(at(2s), 13, {announce("e", 13, 2)});
    BOOST_TEST(!catalog.find(endpoint_id::of("e"))->draining);
}

// An entry of another writer with a start in the future hid all that the endpoint itself
// wrote afterwards, that it leaves too
BOOST_AUTO_TEST_CASE(an_earlier_start_that_stays_listed_counts)
{
    endpoint_catalog catalog({});
    auto const id = endpoint_id::of("e");
    catalog.apply_listing(at(0s), 10, {announce("e", 10, 5)});
    catalog.apply_listing(at(800ms), 11, {announce("e", 11, 1'000'000)});
    auto leaving = announce("e", 12, 5);
    leaving.draining = true;
    catalog.apply_listing(at(1'600ms), 12, {leaving});
    catalog.apply_listing(at(2'400ms), 13, {leaving});
    auto const events = catalog.apply_listing(at(3'200ms), 14, {leaving});
    BOOST_REQUIRE(catalog.find(id));
    BOOST_TEST(catalog.find(id)->draining);
    BOOST_TEST(catalog.find(id)->started_at_ms == 5U);
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events[0].change == endpoint_change::restarted));
}

BOOST_AUTO_TEST_CASE(a_late_entry_of_an_earlier_process_changes_nothing)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), 10, {announce("e", 10, 5)});
    BOOST_TEST(catalog.apply_listing(at(800ms), 11, {announce("e", 11, 4)}).empty());
    catalog.apply_listing(at(1'600ms), 12, {announce("e", 12, 5)});
    // The time of the entry before does not count
    BOOST_TEST(catalog.apply_listing(at(2'400ms), 13, {announce("e", 13, 4)}).empty());
    BOOST_TEST(catalog.find(endpoint_id::of("e"))->started_at_ms == 5U);
}

// Hosts that saw the restart and hosts that saw the entry lapse counted two crashes
BOOST_AUTO_TEST_CASE(a_restart_and_a_lapsed_entry_name_the_same_ended_process)
{
    endpoint_catalog restarted({});
    restarted.apply_listing(at(0s), 10, {announce("e", 10, 1)});
    auto const restart = restarted.apply_listing(at(500ms), 11, {announce("e", 11, 2)});
    endpoint_catalog lapsed({});
    lapsed.apply_listing(at(0s), 10, {announce("e", 10, 1)});
    auto const lapse = lapsed.apply_listing(at(500ms), 11, {});
    BOOST_REQUIRE(restart.size() == 1U);
    BOOST_REQUIRE(lapse.size() == 1U);
    BOOST_TEST(restart[0].ended_process_started_at_ms == 1U);
    BOOST_TEST(lapse[0].ended_process_started_at_ms == 1U);
}

BOOST_AUTO_TEST_CASE(missing_entries_are_kept_for_a_grace_period_after_an_outage)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), 10, {announce("e", 10), announce("f", 10)});

    // The store was unavailable, and both entries expired meanwhile
    BOOST_TEST(catalog.apply_listing(at(5s), 20, {}).empty());
    catalog.apply_listing(at(6s), 21, {announce("f", 21)});
    auto const events = catalog.apply_listing(at(7'500ms), 22, {announce("f", 22)});
    BOOST_TEST(!catalog.find(endpoint_id::of("e")));
    BOOST_TEST(catalog.find(endpoint_id::of("f")));
    BOOST_TEST(events.size() == 2u);
}

// Another host has read the store all the time that this one has not
BOOST_AUTO_TEST_CASE(a_gap_that_another_host_has_covered_is_no_outage)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), 10, {announce("e", 10)});
    auto const events = catalog.apply_listing(at(5s), 20, {}, at(1s));
    BOOST_TEST(events.size() == 1u);
    BOOST_TEST(catalog.outages() == 0u);
    BOOST_TEST((*catalog.available_since() == at(0s)));

    // The other host has seen an outage that began behind this host's last listing
    endpoint_catalog behind({});
    behind.apply_listing(at(0s), 10, {announce("e", 10)});
    BOOST_TEST(behind.apply_listing(at(5s), 20, {}, at(4s)).empty());
    BOOST_TEST(behind.outages() == 1u);
    BOOST_TEST(behind.apply_listing(at(6'400ms), 21, {}, at(4s)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_confirmed_listing_is_as_young_as_its_confirmation)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), 10, {announce("e", 10)});
    catalog.confirm_listing(at(2s), 10, at(0s));
    catalog.confirm_listing(at(4s), 10, at(0s));
    BOOST_TEST((*catalog.listed_at() == at(4s)));
    catalog.confirm_listing(at(6s), 9, at(0s));
    BOOST_TEST((*catalog.listed_at() == at(4s)));
    BOOST_TEST(catalog.apply_listing(at(6s), 11, {}).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_missing_entry_is_removed_at_once_without_an_outage)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), 10, {announce("e", 10)});
    auto const events = catalog.apply_listing(at(800ms), 11, {});
    BOOST_REQUIRE(events.size() == 1u);
    BOOST_TEST((events[0].change == endpoint_change::gone));
}

BOOST_AUTO_TEST_SUITE_END()
