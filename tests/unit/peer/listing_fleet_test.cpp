#include <tests/unit/peer/listing_fleet.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

// `drainMs` of the deployments with that many hosts
constexpr duration drain_bound = 3'000ms;
// `configApplyMs` of these deployments
constexpr duration apply_bound = 3'000ms;
// One in so many hosts cannot read from others
constexpr std::uint32_t failing_share = 10;
// Time in which all hosts of a fleet that starts at once hear each other
constexpr duration start_time = 8s;
constexpr duration watched_time = 20s;

} // namespace

BOOST_AUTO_TEST_SUITE(listing_fleets)

BOOST_AUTO_TEST_CASE(listings_are_younger_than_the_drain_bound_on_all_hosts)
{
    for (std::uint32_t const hosts : {58U, 91U})
    {
        listing_fleet fleet({.hosts = hosts, .seed = hosts, .loss = 0.02});
        fleet.run(start_time);
        BOOST_TEST_MESSAGE("hosts and seed " << hosts);
        BOOST_TEST(fleet.run(watched_time).count() < drain_bound.count());
    }
}

// Hosts whose reads from others failed one after the other used endpoints that had left
// seconds before
BOOST_AUTO_TEST_CASE(a_host_whose_reads_from_others_fail_has_a_young_listing)
{
    listing_fleet fleet({.seed = 3});
    fleet.run(start_time);
    fleet.fail_relays([](std::uint32_t index) { return index % failing_share == 0; });
    BOOST_TEST(fleet.run(watched_time).count() < drain_bound.count());
}

// The same where the few hosts that read the store were all cut from it
BOOST_AUTO_TEST_CASE(listings_stay_young_where_all_readers_lose_the_store)
{
    listing_fleet fleet({.seed = 4});
    fleet.run(start_time);
    std::set<std::uint32_t> readers;
    for (std::uint32_t index = 0; index < fleet.host_count(); ++index)
        if (fleet.is_reader(index))
            readers.insert(index);
    fleet.fail_store([&](std::uint32_t index) { return readers.contains(index); });
    BOOST_TEST(fleet.run(watched_time).count() < drain_bound.count());
}

// A configuration was not in force at hosts whose reads from others failed
BOOST_AUTO_TEST_CASE(a_host_whose_reads_from_others_fail_gets_what_the_operator_writes)
{
    listing_fleet fleet({.seed = 5});
    fleet.run(start_time);
    fleet.fail_relays([](std::uint32_t index) { return index % failing_share == 0; });
    fleet.publish();
    fleet.run(apply_bound);
    BOOST_TEST(fleet.hosts_behind() == 0);
}

// Nobody read it where the hosts that read the store had all lost it: no host's heartbeat
// showed that there was anything new
BOOST_AUTO_TEST_CASE(
    what_the_operator_writes_is_in_force_where_all_readers_lose_the_store)
{
    listing_fleet fleet({.seed = 7});
    fleet.run(start_time);
    std::set<std::uint32_t> readers;
    for (std::uint32_t index = 0; index < fleet.host_count(); ++index)
        if (fleet.is_reader(index))
            readers.insert(index);
    fleet.fail_store([&](std::uint32_t index) { return readers.contains(index); });
    for (int change = 0; change < 5; ++change)
    {
        fleet.publish();
        fleet.run(apply_bound);
        BOOST_TEST(fleet.hosts_behind() == 0);
    }
}

BOOST_AUTO_TEST_CASE(hosts_with_sound_links_leave_the_store_to_its_readers)
{
    constexpr std::size_t readers = 8;
    constexpr std::size_t listings_of_a_reader = watched_time / 800ms;
    listing_fleet fleet({.seed = 6, .loss = 0.02});
    fleet.run(start_time);
    fleet.store_reads = 0;
    fleet.run(watched_time);
    BOOST_TEST(fleet.store_reads <= readers * listings_of_a_reader * 11 / 10);
}

BOOST_AUTO_TEST_SUITE_END()
