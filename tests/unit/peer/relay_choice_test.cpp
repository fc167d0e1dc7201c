#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/peer/relay_choice.hpp>
#include <marjorampath/peer/relay_failures.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t host_count = 91;
constexpr std::uint32_t reader_count = 8;

host_id host_of(std::uint32_t index)
{
    return host_id::of(fmt::format("host-{}", index));
}

peer_address address_of(std::uint32_t index)
{
    return {.address = 0x0a000000U + index, .port = 9};
}

// The table of one host after the readers have read a new configuration
peer_table make_table(std::uint32_t self, time_point now)
{
    peer_table table({.host = host_of(self), .address = address_of(self)}, {}, {});
    for (std::uint32_t index = 0; index < host_count; ++index)
    {
        auto const reader = index < reader_count;
        table.on_heartbeat(
            {.host = host_of(index),
             .zone = zone_id::of("z"),
             .incarnation = 1,
             .address = address_of(index),
             .operator_change = {.revision = reader ? 20U : 10U},
             .listing_position = {.revision = reader ? 200U : 100U},
             .listing_age = reader ? duration(index * 20ms) : duration(2s)},
            now);
    }
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_choices)

BOOST_AUTO_TEST_CASE(hosts_read_the_same_update_from_different_readers)
{
    time_point const now{1'000s};
    std::map<peer_address, int> operator_reads;
    std::map<peer_address, int> listing_reads;
    for (std::uint32_t self = reader_count; self < host_count; ++self)
    {
        auto const choice = choose_relays(make_table(self, now),
                                          {.host = host_of(self),
                                           .zone = zone_id::of("z"),
                                           .operator_change = {.revision = 10},
                                           .listing_position = {.revision = 100}},
                                          now);
        BOOST_REQUIRE(choice.operator_update);
        BOOST_REQUIRE(choice.listing);
        ++operator_reads[*choice.operator_update];
        ++listing_reads[*choice.listing];
    }
    constexpr int mean = (host_count - reader_count) / reader_count;
    for (auto const* reads : {&operator_reads, &listing_reads})
    {
        BOOST_TEST(reads->size() == reader_count);
        for (auto const& [address, count] : *reads)
            BOOST_TEST(count <= 3 * mean);
    }
}

BOOST_AUTO_TEST_CASE(no_relay_is_chosen_for_known_data_or_among_silent_hosts)
{
    time_point const now{1'000s};
    auto const table = make_table(50, now);
    relay_query const own{.host = host_of(50),
                          .zone = zone_id::of("z"),
                          .operator_change = {.revision = 20},
                          .listing_position = {.revision = 200}};
    auto const known = choose_relays(table, own, now);
    BOOST_TEST(!known.operator_update);
    BOOST_TEST(!known.listing);

    auto const silent =
        choose_relays(table, {.host = host_of(50), .zone = zone_id::of("z")}, now + 10s);
    BOOST_TEST(!silent.operator_update);
    BOOST_TEST(!silent.listing);
}

BOOST_AUTO_TEST_CASE(a_relay_whose_last_read_failed_is_chosen_only_if_there_is_no_other)
{
    time_point const now{1'000s};
    auto const table = make_table(50, now);
    relay_query query{.host = host_of(50),
                      .zone = zone_id::of("z"),
                      .operator_change = {.revision = 10},
                      .listing_position = {.revision = 100}};
    auto const first = choose_relays(table, query, now);
    BOOST_REQUIRE(first.listing);
    query.failed_relays = {*first.listing};
    auto const second = choose_relays(table, query, now);
    BOOST_REQUIRE(second.listing);
    BOOST_TEST((*second.listing != *first.listing));

    // Only one host has news
    peer_table single({.host = host_of(50), .address = address_of(50)}, {}, {});
    single.on_heartbeat({.host = host_of(1),
                         .zone = zone_id::of("z"),
                         .incarnation = 1,
                         .address = address_of(1),
                         .listing_position = {.revision = 200}},
                        now);
    query.failed_relays = {address_of(1)};
    BOOST_TEST((choose_relays(single, query, now).listing == address_of(1)));
}

BOOST_AUTO_TEST_CASE(an_older_update_is_read_if_all_with_the_newest_one_are_busy)
{
    time_point const now{1'000s};
    auto table = make_table(50, now);
    auto const between = address_of(70);
    table.on_heartbeat({.host = host_of(70),
                        .zone = zone_id::of("z"),
                        .incarnation = 1,
                        .address = between,
                        .operator_change = {.revision = 15}},
                       now);
    relay_query query{.host = host_of(50),
                      .zone = zone_id::of("z"),
                      .operator_change = {.revision = 10}};
    for (std::uint32_t index = 0; index < reader_count; ++index)
    {
        auto const chosen = choose_relays(table, query, now).operator_update;
        BOOST_REQUIRE(chosen);
        BOOST_TEST((*chosen != between));
        query.failed_relays.push_back(*chosen);
    }
    BOOST_TEST((choose_relays(table, query, now).operator_update == between));
}

// A host that knew the history before the store was restored looked like the newest one,
// and hosts that started later read from it
BOOST_AUTO_TEST_CASE(a_host_of_an_earlier_era_is_not_newer)
{
    time_point const now{1'000s};
    auto const table = make_table(50, now);
    relay_query query{.host = host_of(50),
                      .zone = zone_id::of("z"),
                      .operator_change = {.era = 1, .revision = 3}};
    query.listing_position = {.era = 1, .revision = 3};
    BOOST_TEST(!choose_relays(table, query, now).operator_update);
    BOOST_TEST(!choose_relays(table, query, now).listing);
    query.operator_change = {.revision = 10};
    BOOST_TEST(choose_relays(table, query, now).operator_update.has_value());
}

BOOST_AUTO_TEST_CASE(a_host_that_kept_a_newer_configuration_is_read)
{
    time_point const now{1'000s};
    store_position const change{.era = 1, .revision = 20};
    peer_table table({.host = host_of(1), .address = address_of(1)}, {}, {});
    table.on_heartbeat({.host = host_of(2),
                        .zone = zone_id::of("z"),
                        .incarnation = 1,
                        .address = address_of(2),
                        .operator_change = change,
                        .kept_configuration = 4},
                       now);
    relay_query query{.host = host_of(1),
                      .zone = zone_id::of("z"),
                      .operator_change = change,
                      .configuration_version = 3};
    BOOST_TEST(choose_relays(table, query, now).operator_update.has_value());
    query.configuration_version = 4;
    BOOST_TEST(!choose_relays(table, query, now).operator_update);
}

BOOST_AUTO_TEST_CASE(a_younger_listing_of_the_same_revision_is_read)
{
    time_point const now{1'000s};
    auto const table = make_table(50, now);
    relay_query query{.host = host_of(50),
                      .zone = zone_id::of("z"),
                      .operator_change = {.revision = 20},
                      .listing_position = {.revision = 200},
                      .listing_age = 1'600ms};
    BOOST_TEST(choose_relays(table, query, now).listing.has_value());
    query.listing_age = 700ms;
    BOOST_TEST(!choose_relays(table, query, now).listing);
}

BOOST_AUTO_TEST_CASE(a_failed_relay_is_avoided_for_a_second)
{
    relay_failures failures;
    time_point const now{1'000s};
    failures.add(address_of(1), now);
    failures.add(address_of(2), now);
    failures.remove(address_of(2));
    BOOST_REQUIRE(failures.recent(now + 900ms).size() == 1U);
    BOOST_TEST((failures.recent(now + 900ms).front() == address_of(1)));
    BOOST_TEST(failures.recent(now + 1s).empty());
}

BOOST_AUTO_TEST_CASE(ninety_hosts_send_heartbeats_twice_a_second)
{
    time_point const now{1'000s};
    auto const table = make_table(50, now);
    BOOST_TEST((table.heartbeat_interval() <= 520ms));
    BOOST_TEST((table.heartbeat_interval() >= 480ms));
}

BOOST_AUTO_TEST_SUITE_END()
