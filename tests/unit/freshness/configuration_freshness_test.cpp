#include <marjorampath/freshness/configuration_freshness.hpp>
#include <marjorampath/freshness/freshness_peer.hpp>
#include <marjorampath/peer/peer_table.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <set>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

time_point const start(100s);

// A host with version 7 of the configuration, which it read first at `start`
configuration_freshness confirmed_host(configuration_freshness::options options = {})
{
    if (!options.revocation_bound)
        options.revocation_bound = 5s;
    configuration_freshness host(options);
    host.on_configuration(7);
    host.on_operator_read(
        {.asked_at = start, .complete = {.revision = 10}, .stored_version = 7},
        start + 1s);
    return host;
}

} // namespace

BOOST_AUTO_TEST_SUITE(freshness)

// A watch may be answered with what the store had when the question arrived
BOOST_AUTO_TEST_CASE(a_read_proves_the_time_of_its_question)
{
    auto const host = confirmed_host();
    BOOST_TEST((host.age(start + 1s) == 1s));
    BOOST_TEST(host.is_confirmed(start + 4'700ms));
    BOOST_TEST(!host.is_confirmed(start + 4'701ms));
}

BOOST_AUTO_TEST_CASE(nothing_is_confirmed_before_the_first_read)
{
    configuration_freshness host({.revocation_bound = 5s});
    host.on_configuration(7);
    BOOST_TEST(!host.is_confirmed(start));
    BOOST_TEST(!host.age(start));
    BOOST_TEST(host.needs_store(start));
}

// Deployments without a bound serve on whatever they know
BOOST_AUTO_TEST_CASE(without_a_bound_nothing_is_asked_and_all_is_confirmed)
{
    configuration_freshness host({});
    BOOST_TEST(host.is_confirmed(start));
    BOOST_TEST(!host.needs_store(start));
    BOOST_TEST(!host.next_query(start));
}

// The store has a configuration that this host could not put in force
BOOST_AUTO_TEST_CASE(a_read_of_another_configuration_proves_nothing)
{
    auto host = confirmed_host();
    host.on_operator_read({.asked_at = start + 2s, .complete = {.revision = 11}},
                          start + 3s);
    host.on_operator_read(
        {.asked_at = start + 2s, .complete = {.revision = 11}, .stored_version = 8},
        start + 3s);
    BOOST_TEST((host.age(start + 3s) == 3s));
}

// A listing of the endpoints was sent while the watch waited, and the watch says that the
// operator changed nothing up to the listing's position
BOOST_AUTO_TEST_CASE(a_position_of_the_store_proves_the_time_at_which_it_was_asked_for)
{
    auto host = confirmed_host();
    host.on_store_position({.revision = 12}, start + 1'500ms);
    host.on_store_position({.revision = 15}, start + 1'900ms);
    host.on_operator_read(
        {.asked_at = start + 1s, .complete = {.revision = 13}, .stored_version = 7},
        start + 2s);
    BOOST_TEST((host.age(start + 2s) == 500ms));
    host.on_operator_read(
        {.asked_at = start + 1s, .complete = {.revision = 15}, .stored_version = 7},
        start + 2s);
    BOOST_TEST((host.age(start + 2s) == 100ms));
}

// Another host's answer may rest in a queue for seconds
BOOST_AUTO_TEST_CASE(a_reply_proves_no_more_than_the_time_of_its_query)
{
    auto host = confirmed_host();
    auto const other = confirmed_host();
    auto const query = host.next_query(start + 2s);
    BOOST_REQUIRE(query);
    auto const reply = other.reply_to(*query, start + 3s);
    BOOST_TEST((reply.age == 3s));
    host.on_reply(reply);
    BOOST_TEST((host.age(start + 9s) == 9s));

    auto const second = host.next_query(start + 3s);
    BOOST_REQUIRE(second);
    host.on_reply({.number = second->number, .version = 7, .age = 400ms});
    BOOST_TEST((host.age(start + 9s) == 6'400ms));
    // It counts once
    host.on_reply({.number = second->number, .version = 7, .age = 0ms});
    BOOST_TEST((host.age(start + 9s) == 6'400ms));
}

// What a newer configuration revoked is not known here
BOOST_AUTO_TEST_CASE(a_host_with_a_newer_configuration_confirms_nothing)
{
    auto host = confirmed_host();
    auto const query = host.next_query(start + 2s);
    host.on_reply({.number = query->number, .version = 8, .age = 0ms});
    BOOST_TEST((host.age(start + 3s) == 3s));

    // This host's own one was written behind the other's
    auto const second = host.next_query(start + 3s);
    host.on_reply({.number = second->number, .version = 6, .age = 0ms});
    BOOST_TEST((host.age(start + 3s) == 0s));
}

BOOST_AUTO_TEST_CASE(queries_are_sent_for_an_old_proof_and_not_too_often)
{
    auto host = confirmed_host();
    BOOST_TEST(!host.next_query(start + 1s));
    BOOST_TEST(host.next_query(start + 2s).has_value());
    BOOST_TEST(!host.next_query(start + 2s + 100ms));
    BOOST_TEST(host.next_query(start + 2s + 250ms).has_value());
}

BOOST_AUTO_TEST_CASE(the_store_is_asked_where_other_hosts_do_not_help)
{
    auto host = confirmed_host();
    BOOST_TEST(!host.needs_store(start + 2s));
    BOOST_TEST(host.needs_store(start + 3s));
    host.on_store_asked(start + 3s);
    BOOST_TEST(!host.needs_store(start + 3'500ms));
    BOOST_TEST(host.needs_store(start + 4s));
}

// A change may have been acknowledged and lost before this host read it
BOOST_AUTO_TEST_CASE(a_restored_store_proves_nothing_until_it_is_written_again)
{
    auto const read_in_new_era =
        [](configuration_freshness& host, duration behind, std::uint64_t version)
    {
        host.on_operator_read({.asked_at = start + behind,
                               .complete = {.era = 1, .revision = 3},
                               .stored_version = version},
                              start + behind);
    };
    auto host = confirmed_host();
    read_in_new_era(host, 2s, 7);
    read_in_new_era(host, 4s, 7);
    BOOST_TEST((host.age(start + 4s) == 4s));

    // Written again
    host.on_configuration(8);
    read_in_new_era(host, 5s, 8);
    BOOST_TEST((host.age(start + 5s) == 0s));

    // Or nothing was lost
    auto other = confirmed_host({.restore_time = 10s});
    read_in_new_era(other, 2s, 7);
    read_in_new_era(other, 11'900ms, 7);
    BOOST_TEST(!other.is_confirmed(start + 12s));
    read_in_new_era(other, 12s, 7);
    BOOST_TEST(other.is_confirmed(start + 12s));
}

// Heartbeats choose whom to ask: the newest ones of this zone, not always the same host
BOOST_AUTO_TEST_CASE(hosts_with_newer_proofs_are_asked_in_turn)
{
    auto const zone = zone_id::of("z");
    peer_table peers({.host = host_id::of("own"), .zone = zone}, {}, {});
    auto const add =
        [&](char const* name, char const* zone_name, std::optional<duration> age)
    {
        peers.on_heartbeat({.host = host_id::of(name),
                            .zone = zone_id::of(zone_name),
                            .incarnation = 1,
                            .address = {1, static_cast<std::uint16_t>(name[0])},
                            .configuration_age = age},
                           start);
    };
    add("a", "z", 300ms);
    add("b", "z", 600ms);
    add("c", "z", 2s);
    add("d", "y", 100ms);
    add("e", "z", std::nullopt);
    std::set<host_id> asked;
    for (std::uint64_t number = 1; number <= 50; ++number)
        asked.insert(choose_freshness_peer(
            peers,
            {.host = host_id::of("own"), .zone = zone, .age = 1'500ms, .number = number},
            start));
    BOOST_TEST((asked == std::set<host_id>{host_id::of("a"), host_id::of("b")}));
    BOOST_TEST(!choose_freshness_peer(
        peers, {.host = host_id::of("own"), .zone = zone, .age = 400ms}, start));
    BOOST_TEST(bool(choose_freshness_peer(
        peers, {.host = host_id::of("own"), .zone = zone, .age = 400ms, .urgent = true},
        start)));
}

BOOST_AUTO_TEST_SUITE_END()
