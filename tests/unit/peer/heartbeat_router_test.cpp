#include <marjorampath/peer/heartbeat_groups.hpp>
#include <serving/entry/peer_codec.hpp>
#include <tests/unit/peer/heartbeat_fleet.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <variant>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

// Time in which hosts that start together must know each other
constexpr duration start_time = 3s;

std::size_t all_pairs(std::size_t hosts)
{
    return hosts * (hosts - 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeat_routers)

BOOST_AUTO_TEST_CASE(hosts_that_start_together_know_each_other_within_seconds)
{
    for (auto const hosts : {9U, 37U, 58U, 91U, 195U, 340U})
    {
        heartbeat_fleet fleet({.hosts = hosts, .zones = 6});
        fleet.run(start_time);
        BOOST_TEST_CONTEXT(hosts << " hosts")
        {
            BOOST_TEST(fleet.pairs_heard() == all_pairs(hosts));
            BOOST_TEST(fleet.pairs_exchanged() == all_pairs(hosts));
        }
    }
}

// 195 hosts sent 35,000 datagrams a second, and a host that was lost counted as alive for
// more than five seconds
BOOST_AUTO_TEST_CASE(heartbeats_grow_with_the_square_root_of_the_fleet)
{
    for (auto const hosts : {58U, 91U, 195U, 340U})
    {
        heartbeat_fleet fleet({.hosts = hosts, .zones = 6});
        fleet.run(8s);
        fleet.datagrams = 0;
        fleet.run(10s);
        auto const per_host = static_cast<double>(fleet.datagrams) / hosts / 10;
        BOOST_TEST_MESSAGE(hosts << " hosts: " << per_host
                                 << " datagrams a second and host, interval "
                                 << fleet.table(0).heartbeat_interval() / 1ms << " ms");
        BOOST_TEST_CONTEXT(hosts << " hosts")
        {
            BOOST_TEST(per_host <= 70);
            BOOST_TEST(fleet.pairs_heard() == all_pairs(hosts));
            BOOST_TEST(fleet.false_silences == 0U);
            fleet.kill(hosts / 3);
            fleet.run(fleet.table(0).heartbeat_interval() * 10);
            BOOST_TEST(fleet.hosts_that_hear(hosts / 3) == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(lost_datagrams_make_no_host_silent)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        heartbeat_fleet fleet({.hosts = 91, .zones = 4, .seed = seed, .loss = 0.03});
        fleet.run(8s);
        fleet.false_silences = 0;
        fleet.run(30s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(fleet.false_silences == 0U);
            BOOST_TEST(fleet.pairs_exchanged() == all_pairs(91));
        }
    }
}

BOOST_AUTO_TEST_CASE(hosts_that_remain_hear_each_other_when_a_third_is_lost)
{
    constexpr std::uint32_t hosts = 195;
    heartbeat_fleet fleet({.hosts = hosts, .zones = 6});
    fleet.run(8s);
    for (std::uint32_t index = 0; index < hosts; index += 3)
        fleet.kill(index);
    fleet.run(10s);
    BOOST_TEST(fleet.pairs_heard() == all_pairs(130));

    // All of them start again
    for (std::uint32_t index = 0; index < hosts; index += 3)
        fleet.start(index);
    fleet.run(start_time);
    BOOST_TEST(fleet.pairs_heard() == all_pairs(hosts));
    BOOST_TEST(fleet.pairs_exchanged() == all_pairs(hosts));
}

BOOST_AUTO_TEST_CASE(zones_that_were_cut_off_hear_each_other_again)
{
    constexpr std::uint32_t hosts = 91;
    heartbeat_fleet fleet({.hosts = hosts, .zones = 4});
    fleet.run(8s);
    fleet.cut([](std::uint32_t index) { return index % 4 == 0 ? 1 : 0; });
    fleet.run(8s);
    BOOST_TEST(fleet.pairs_heard() == all_pairs(23) + all_pairs(68));
    BOOST_TEST(fleet.false_silences == 0U);
    fleet.cut([](std::uint32_t) { return 0; });
    fleet.run(start_time);
    BOOST_TEST(fleet.pairs_heard() == all_pairs(hosts));
}

// A host whose heartbeats were lost got those of the whole fleet to pass them on, which
// filled its link so that its heartbeats were lost
BOOST_AUTO_TEST_CASE(a_host_that_is_not_heard_has_no_more_to_pass_on_than_others)
{
    constexpr std::uint32_t hosts = 195;
    constexpr std::uint32_t muted = 5;
    heartbeat_fleet fleet({.hosts = hosts, .zones = 6});
    fleet.run(8s);
    fleet.mute(muted);
    fleet.run(10s);
    BOOST_TEST(fleet.hosts_that_hear(muted) == 0U);
    fleet.to_pass_on.clear();
    fleet.received.clear();
    fleet.run(10s);
    auto const mean = [](std::map<std::uint32_t, std::size_t> const& counts)
    {
        std::size_t sum = 0;
        for (auto const& [index, count] : counts)
            sum += count;
        return sum / hosts;
    };
    BOOST_TEST(fleet.to_pass_on[muted] <= mean(fleet.to_pass_on));
    BOOST_TEST(fleet.received[muted] <= 3 * mean(fleet.received));
}

// During an upgrade
BOOST_AUTO_TEST_CASE(hosts_of_a_build_without_groups_hear_and_are_heard)
{
    for (auto const old_builds : {1U, 45U, 90U})
    {
        heartbeat_fleet fleet({.hosts = 91, .zones = 4, .old_builds = old_builds});
        fleet.run(8s);
        fleet.false_silences = 0;
        BOOST_TEST_CONTEXT(old_builds << " hosts of the build before")
        {
            BOOST_TEST(fleet.pairs_heard() == all_pairs(91));
            BOOST_TEST(fleet.pairs_exchanged() == all_pairs(91));
            fleet.run(20s);
            BOOST_TEST(fleet.false_silences == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_older_heartbeat_that_was_passed_on_changes_nothing)
{
    peer_table table({.host = host_id::of("a")}, {}, {});
    time_point const now(1'000s);
    peer_heartbeat heartbeat{.host = host_id::of("b"),
                             .incarnation = 7,
                             .listing_position = {.revision = 20},
                             .passes_on = true,
                             .sequence = 5};
    table.on_heartbeat(heartbeat, now);
    heartbeat.sequence = 4;
    heartbeat.listing_position = {.revision = 10};
    BOOST_TEST((table.on_heartbeat(heartbeat, now - 1s) == peer_change::ignored));
    auto const& known = table.peers().at(host_id::of("b"));
    BOOST_TEST(known.last_heartbeat.listing_position.revision == 20U);
    BOOST_TEST((known.last_heartbeat_at == now));

    // The numbers of a new process begin anew
    heartbeat.incarnation = 8;
    heartbeat.sequence = 1;
    BOOST_TEST((table.on_heartbeat(heartbeat, now) == peer_change::restarted));
}

BOOST_AUTO_TEST_CASE(twice_as_many_groups_halve_each_one)
{
    for (std::uint32_t index = 0; index < 100; ++index)
    {
        auto const host = heartbeat_fleet::host_of(index);
        auto const zone = zone_id::of("z");
        auto const two = heartbeat_group_of(host, zone, 32, 256);
        auto const four = heartbeat_group_of(host, zone, 64, 256);
        BOOST_TEST(two.index == four.index / 2);
    }
}

BOOST_AUTO_TEST_CASE(a_heartbeat_is_passed_on_as_it_was_received)
{
    peer_heartbeat const inner{.host = host_id::of("b"),
                               .incarnation = 7,
                               .passes_on = true,
                               .sequence = 5,
                               .to_pass_on = true};
    auto const bytes = serving::encode_peer_message(inner);
    heartbeat_relay relay({});
    relay.add(inner.host, bytes, time_point(10s));
    peer_heartbeat const carrier{.host = host_id::of("c"),
                                 .relayed = relay.take(time_point(10s) + 300ms)};
    auto const read = serving::decode_peer_message(serving::encode_peer_message(carrier));
    BOOST_REQUIRE(read.has_value());
    auto const& relayed = std::get<peer_heartbeat>(*read).relayed;
    BOOST_REQUIRE(relayed.size() == 1U);
    BOOST_TEST((relayed[0].age == 300ms));
    BOOST_TEST(relayed[0].message == bytes);
    BOOST_TEST(relay.take(time_point(11s)).empty());
}

BOOST_AUTO_TEST_CASE(damaged_heartbeats_and_those_passed_on_with_them_end_no_process)
{
    heartbeat_relay relay({});
    auto const inner = serving::encode_peer_message(
        peer_heartbeat{.host = host_id::of("b"), .incarnation = 7, .sequence = 5});
    relay.add(host_id::of("b"), inner, time_point(10s));
    auto const whole = serving::encode_peer_message(
        peer_heartbeat{.host = host_id::of("c"),
                       .unreached_services = {service_id::of("s")},
                       .relayed = relay.take(time_point(10s))});
    std::size_t read = 0;
    for (std::uint32_t seed = 1; seed <= 20'000; ++seed)
    {
        std::minstd_rand random(seed);
        auto bytes = whole;
        for (auto changes = 1 + random() % 4; changes > 0; --changes)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        if (random() % 3 == 0)
            bytes.resize(random() % bytes.size());
        auto const message = serving::decode_peer_message(bytes);
        auto const* carrier = message ? std::get_if<peer_heartbeat>(&*message) : nullptr;
        if (!carrier)
            continue;
        for (auto const& relayed : carrier->relayed)
        {
            BOOST_REQUIRE_MESSAGE(relayed.age >= 0s, "seed " << seed);
            read += serving::decode_peer_message(relayed.message) ? 1U : 0U;
        }
    }
    BOOST_TEST(read > 0U);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_that_fits_into_no_datagram_is_not_passed_on)
{
    heartbeat_relay relay({.max_bytes = 10});
    relay.add(host_id::of("a"), std::string(11, 'x'), time_point(10s));
    relay.add(host_id::of("b"), std::string(6, 'x'), time_point(10s));
    relay.add(host_id::of("c"), std::string(6, 'x'), time_point(10s));
    BOOST_TEST(relay.take(time_point(11s)).size() == 1U);
    BOOST_TEST(relay.take(time_point(11s)).size() == 1U);
    BOOST_TEST(relay.take(time_point(11s)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
