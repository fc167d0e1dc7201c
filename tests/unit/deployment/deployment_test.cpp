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
            .position = {.revision = revision},
            .started_at_ms = started_at_ms,
            .address = "127.0.0.1",
            .port = 1};
}

endpoint_announcement announce_at(std::string const& name, store_position position,
                                  std::uint64_t started_at_ms = 1)
{
    auto entry = announce(name, position.revision, started_at_ms);
    entry.position = position;
    return entry;
}

time_point at(duration time)
{
    return time_point(1'000s) + time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(deployments)

// What could not be read of a listing is unknown: it counted as gone
BOOST_AUTO_TEST_CASE(a_part_of_a_listing_adds_endpoints_and_removes_none)
{
    endpoint_catalog catalog({});
    auto const first = catalog.apply_part(at(0s), {1, 10}, {announce_at("e", {1, 5})});
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((first[0].change == endpoint_change::appeared));
    BOOST_TEST(!catalog.listed_at().has_value());

    catalog.apply_listing(at(1s), {1, 20},
                          {announce_at("e", {1, 5}), announce_at("f", {1, 15})});
    auto leaving = announce_at("e", {1, 21});
    leaving.draining = true;
    auto const part =
        catalog.apply_part(at(2s), {1, 22}, {leaving, announce_at("g", {1, 22})});
    BOOST_REQUIRE(part.size() == 2U);
    BOOST_TEST((part[0].change == endpoint_change::draining));
    BOOST_TEST(catalog.endpoints().size() == 3U);
    BOOST_TEST((catalog.position() == store_position{1, 20}));
    BOOST_TEST((catalog.listed_at() == at(1s)));
}

// An endpoint that a newer listing no longer has came back
BOOST_AUTO_TEST_CASE(a_part_of_an_older_listing_or_of_another_era_is_ignored)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {2, 20}, {});
    BOOST_TEST(catalog.apply_part(at(1s), {2, 19}, {announce_at("e", {2, 5})}).empty());
    BOOST_TEST(catalog.apply_part(at(1s), {1, 90}, {announce_at("e", {1, 5})}).empty());
    BOOST_TEST(catalog.apply_part(at(1s), {3, 30}, {announce_at("e", {3, 5})}).empty());
    BOOST_TEST(catalog.endpoints().empty());
}

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

// Listings of a restored store were ignored until it had given out as many revisions as
// it had lost, and engines that left meanwhile got requests
BOOST_AUTO_TEST_CASE(a_lower_revision_of_a_later_era_counts)
{
    endpoint_catalog catalog({});
    auto const id = endpoint_id::of("e");
    catalog.apply_listing(at(0s), {1, 90}, {announce_at("e", {1, 80})});
    catalog.apply_listing(at(1s), {2, 50}, {announce_at("e", {2, 40})});
    auto leaving = announce_at("e", {2, 51});
    leaving.draining = true;
    auto const events = catalog.apply_listing(at(2s), {2, 51}, {leaving});
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events[0].change == endpoint_change::draining));

    // Late answers of the era before
    BOOST_TEST(catalog.apply_listing(at(3s), {1, 99}, {}).empty());
    BOOST_TEST(catalog.find(id)->draining);
    BOOST_TEST((catalog.listed_at() == at(2s)));
}

BOOST_AUTO_TEST_CASE(an_equal_revision_of_another_era_confirms_nothing)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {1, 10}, {announce_at("e", {1, 10})});
    catalog.confirm_listing(at(2s), {2, 10}, at(0s));
    catalog.confirm_listing(at(2s), {.revision = 10}, at(0s));
    BOOST_TEST((catalog.listed_at() == at(0s)));
}

BOOST_AUTO_TEST_CASE(what_a_restored_store_lacks_is_kept_for_the_grace_period)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {1, 90},
                          {announce_at("e", {1, 80}), announce_at("f", {1, 85})});
    catalog.apply_listing(at(1s), {2, 50}, {announce_at("f", {2, 40})});
    BOOST_TEST(catalog.find(endpoint_id::of("e")));
    BOOST_TEST(catalog.is_provisional());
    catalog.apply_listing(at(3200ms), {2, 50}, {announce_at("f", {2, 40})});
    BOOST_TEST(catalog.find(endpoint_id::of("e")));
    auto const events =
        catalog.apply_listing(at(3400ms), {2, 50}, {announce_at("f", {2, 40})});
    BOOST_TEST(!catalog.find(endpoint_id::of("e")));
    BOOST_TEST(!catalog.is_provisional());
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events[0].change == endpoint_change::gone));
}

// What hosts know from orders since the entry was written is newer
BOOST_AUTO_TEST_CASE(an_entry_that_a_restored_store_still_has_is_no_news)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {1, 90}, {announce_at("e", {1, 40})});
    BOOST_TEST(
        catalog.apply_listing(at(1s), {2, 50}, {announce_at("e", {2, 40})}).empty());
    BOOST_TEST((catalog.find(endpoint_id::of("e"))->position == store_position{2, 40}));
    BOOST_TEST(!catalog.is_provisional());
    BOOST_TEST(catalog.kept() == 0U);
}

BOOST_AUTO_TEST_CASE(an_older_entry_of_the_copy_does_not_replace_the_known_one)
{
    endpoint_catalog catalog({});
    auto const id = endpoint_id::of("e");
    auto known = announce_at("e", {1, 80});
    known.adapters = {{.name = "m/a1", .version = 1}};
    catalog.apply_listing(at(0s), {1, 90}, {known});
    BOOST_TEST(
        catalog.apply_listing(at(1s), {2, 50}, {announce_at("e", {2, 40})}).empty());
    BOOST_TEST(catalog.find(id)->adapters.size() == 1U);

    // It has written again
    catalog.apply_listing(at(2s), {2, 52}, {announce_at("e", {2, 52})});
    BOOST_TEST(catalog.find(id)->adapters.empty());
}

BOOST_AUTO_TEST_CASE(a_process_that_left_or_was_gone_is_not_brought_back_by_the_copy)
{
    endpoint_catalog catalog({});
    auto const gone = endpoint_id::of("gone");
    auto const left = endpoint_id::of("left");
    auto leaving = announce_at("left", {1, 82});
    leaving.draining = true;
    catalog.apply_listing(at(0s), {1, 80},
                          {announce_at("gone", {1, 40}), announce_at("left", {1, 41})});
    catalog.apply_listing(at(1s), {1, 90}, {leaving});
    std::vector<endpoint_announcement> const copy{announce_at("gone", {2, 40}),
                                                  announce_at("left", {2, 41})};
    for (auto const time : {2s, 4s, 8s})
    {
        catalog.apply_listing(at(time), {2, 50}, copy);
        BOOST_TEST(!catalog.find(gone));
        BOOST_TEST(catalog.find(left)->draining);
    }

    // A process that writes again lives, and a new one is no copy
    catalog.apply_listing(
        at(9s), {2, 60}, {announce_at("gone", {2, 55}), announce_at("left", {2, 56}, 2)});
    BOOST_TEST(catalog.find(gone));
    BOOST_TEST(!catalog.find(left)->draining);
}

BOOST_AUTO_TEST_CASE(an_earlier_start_in_the_copy_does_not_count_in_the_grace_period)
{
    endpoint_catalog catalog({});
    auto const id = endpoint_id::of("e");
    catalog.apply_listing(at(0s), {1, 90}, {announce_at("e", {1, 80}, 5)});
    std::vector<endpoint_announcement> const copy{announce_at("e", {2, 40}, 4)};
    for (auto const time : {1000ms, 2000ms, 3000ms})
        BOOST_TEST(catalog.apply_listing(at(time), {2, 50}, copy).empty());
    catalog.apply_listing(at(3200ms), {2, 52}, {announce_at("e", {2, 52}, 5)});
    BOOST_TEST(catalog.find(id)->started_at_ms == 5U);
}

BOOST_AUTO_TEST_CASE(an_older_listing_changes_nothing)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10)});
    BOOST_TEST(catalog.apply_listing(at(1s), {.revision = 9}, {}).empty());
    BOOST_TEST(catalog.find(endpoint_id::of("e")));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_said_it_leaves_stays_leaving_until_its_next_process)
{
    endpoint_catalog catalog({});
    auto const id = endpoint_id::of("e");
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10)});
    auto const event = catalog.note_leaving(id, 1, at(1s));
    BOOST_REQUIRE(event.has_value());
    BOOST_TEST((event->change == endpoint_change::draining));
    BOOST_TEST(event->endpoint.draining);
    BOOST_TEST(!catalog.note_leaving(id, 1, at(1s)).has_value());

    // A later listing that still has it as ready, and one in which it lapsed before
    catalog.apply_listing(at(2s), {.revision = 11}, {announce("e", 11)});
    BOOST_TEST(catalog.find(id)->draining);
    catalog.apply_listing(at(3s), {.revision = 12}, {});
    BOOST_TEST(!catalog.find(id));
    catalog.apply_listing(at(4s), {.revision = 13}, {announce("e", 13)});
    BOOST_TEST(catalog.find(id)->draining);

    catalog.apply_listing(at(5s), {.revision = 14}, {announce("e", 14, 2)});
    BOOST_TEST(!catalog.find(id)->draining);
    // A late answer of the process before
    BOOST_TEST(!catalog.note_leaving(id, 1, at(6s)).has_value());
    BOOST_TEST(!catalog.find(id)->draining);
}

BOOST_AUTO_TEST_CASE(a_listing_that_was_relayed_late_does_not_set_the_age_back)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(2s), {.revision = 10}, {announce("e", 10)});
    catalog.apply_listing(at(1s), {.revision = 10}, {announce("e", 10)});
    BOOST_TEST((catalog.listed_at() == at(2s)));
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_stays_draining_until_it_restarts)
{
    endpoint_catalog catalog({});
    auto leaving = announce("e", 11);
    leaving.draining = true;
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10)});
    auto const events = catalog.apply_listing(at(1s), {.revision = 11}, {leaving});
    BOOST_REQUIRE(events.size() == 1u);
    BOOST_TEST((events[0].change == endpoint_change::draining));

    catalog.apply_listing(at(1500ms), {.revision = 12}, {announce("e", 12)});
    BOOST_TEST(catalog.find(endpoint_id::of("e"))->draining);
    catalog.apply_listing(at(2s), {.revision = 13}, {announce("e", 13, 2)});
    BOOST_TEST(!catalog.find(endpoint_id::of("e"))->draining);
}

// An entry of another writer with a start in the future hid all that the endpoint itself
// wrote afterwards, that it leaves too
BOOST_AUTO_TEST_CASE(an_earlier_start_that_stays_listed_counts)
{
    endpoint_catalog catalog({});
    auto const id = endpoint_id::of("e");
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10, 5)});
    catalog.apply_listing(at(800ms), {.revision = 11}, {announce("e", 11, 1'000'000)});
    auto leaving = announce("e", 12, 5);
    leaving.draining = true;
    catalog.apply_listing(at(1'600ms), {.revision = 12}, {leaving});
    catalog.apply_listing(at(2'400ms), {.revision = 13}, {leaving});
    auto const events = catalog.apply_listing(at(3'200ms), {.revision = 14}, {leaving});
    BOOST_REQUIRE(catalog.find(id));
    BOOST_TEST(catalog.find(id)->draining);
    BOOST_TEST(catalog.find(id)->started_at_ms == 5U);
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events[0].change == endpoint_change::restarted));
}

BOOST_AUTO_TEST_CASE(a_late_entry_of_an_earlier_process_changes_nothing)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10, 5)});
    BOOST_TEST(catalog.apply_listing(at(800ms), {.revision = 11}, {announce("e", 11, 4)})
                   .empty());
    catalog.apply_listing(at(1'600ms), {.revision = 12}, {announce("e", 12, 5)});
    // The time of the entry before does not count
    BOOST_TEST(
        catalog.apply_listing(at(2'400ms), {.revision = 13}, {announce("e", 13, 4)})
            .empty());
    BOOST_TEST(catalog.find(endpoint_id::of("e"))->started_at_ms == 5U);
}

// Hosts that saw the restart and hosts that saw the entry lapse counted two crashes
BOOST_AUTO_TEST_CASE(a_restart_and_a_lapsed_entry_name_the_same_ended_process)
{
    endpoint_catalog restarted({});
    restarted.apply_listing(at(0s), {.revision = 10}, {announce("e", 10, 1)});
    auto const restart =
        restarted.apply_listing(at(500ms), {.revision = 11}, {announce("e", 11, 2)});
    endpoint_catalog lapsed({});
    lapsed.apply_listing(at(0s), {.revision = 10}, {announce("e", 10, 1)});
    auto const lapse = lapsed.apply_listing(at(500ms), {.revision = 11}, {});
    BOOST_REQUIRE(restart.size() == 1U);
    BOOST_REQUIRE(lapse.size() == 1U);
    BOOST_TEST(restart[0].ended_process_started_at_ms == 1U);
    BOOST_TEST(lapse[0].ended_process_started_at_ms == 1U);
}

BOOST_AUTO_TEST_CASE(missing_entries_are_kept_for_a_grace_period_after_an_outage)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {.revision = 10},
                          {announce("e", 10), announce("f", 10)});

    // The store was unavailable, and both entries expired meanwhile
    BOOST_TEST(catalog.apply_listing(at(5s), {.revision = 20}, {}).empty());
    catalog.apply_listing(at(6s), {.revision = 21}, {announce("f", 21)});
    auto const events =
        catalog.apply_listing(at(7'500ms), {.revision = 22}, {announce("f", 22)});
    BOOST_TEST(!catalog.find(endpoint_id::of("e")));
    BOOST_TEST(catalog.find(endpoint_id::of("f")));
    BOOST_TEST(events.size() == 2u);
}

// Another host has read the store all the time that this one has not
BOOST_AUTO_TEST_CASE(a_gap_that_another_host_has_covered_is_no_outage)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10)});
    auto const events = catalog.apply_listing(at(5s), {.revision = 20}, {}, at(1s));
    BOOST_TEST(events.size() == 1u);
    BOOST_TEST(catalog.outages() == 0u);
    BOOST_TEST((*catalog.available_since() == at(0s)));

    // The other host has seen an outage that began behind this host's last listing
    endpoint_catalog behind({});
    behind.apply_listing(at(0s), {.revision = 10}, {announce("e", 10)});
    BOOST_TEST(behind.apply_listing(at(5s), {.revision = 20}, {}, at(4s)).empty());
    BOOST_TEST(behind.outages() == 1u);
    BOOST_TEST(behind.apply_listing(at(6'400ms), {.revision = 21}, {}, at(4s)).size() ==
               1u);
}

BOOST_AUTO_TEST_CASE(a_confirmed_listing_is_as_young_as_its_confirmation)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10)});
    catalog.confirm_listing(at(2s), {.revision = 10}, at(0s));
    catalog.confirm_listing(at(4s), {.revision = 10}, at(0s));
    BOOST_TEST((*catalog.listed_at() == at(4s)));
    catalog.confirm_listing(at(6s), {.revision = 9}, at(0s));
    BOOST_TEST((*catalog.listed_at() == at(4s)));
    BOOST_TEST(catalog.apply_listing(at(6s), {.revision = 11}, {}).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_missing_entry_is_removed_at_once_without_an_outage)
{
    endpoint_catalog catalog({});
    catalog.apply_listing(at(0s), {.revision = 10}, {announce("e", 10)});
    auto const events = catalog.apply_listing(at(800ms), {.revision = 11}, {});
    BOOST_REQUIRE(events.size() == 1u);
    BOOST_TEST((events[0].change == endpoint_change::gone));
}

BOOST_AUTO_TEST_SUITE_END()
