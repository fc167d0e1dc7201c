#include <marjorampath/membership/membership.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

using tested_membership = membership<boost::random::mt19937>;

region_id const region = region_id::of("region");
zone_id const zone = zone_id::of("zone");

host_record record_of(char const* name, std::uint64_t incarnation)
{
    return {.host = host_id::of(name),
            .zone = zone,
            .region = region,
            .incarnation = incarnation,
            .counter = 0,
            .state = host_state::alive};
}

tested_membership make(char const* name, std::uint64_t incarnation)
{
    return {record_of(name, incarnation), membership_options{},
            boost::random::mt19937(1)};
}

time_point at(duration since_start)
{
    return time_point(std::chrono::hours(1) + since_start);
}

std::vector<listed_host> list_of(std::initializer_list<char const*> names)
{
    std::vector<listed_host> list;
    for (auto const* name : names)
        list.push_back({host_id::of(name), zone, region, false});
    return list;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_membership)

BOOST_AUTO_TEST_CASE(a_silent_host_is_suspected_and_then_dead)
{
    auto members = make("a", 10);
    membership_actions actions;
    members.on_host_list(at(0s), list_of({"a", "b"}), actions);
    auto now = 0ms;
    auto const silent = host_id::of("b");
    while (members.table().find(silent)->record.state == host_state::alive && now < 5s)
        members.on_tick(at(now += 50ms), actions);
    BOOST_TEST((members.table().find(silent)->record.state == host_state::suspect));
    BOOST_TEST((now < 1s));
    while (members.table().find(silent)->record.state == host_state::suspect && now < 60s)
        members.on_tick(at(now += 50ms), actions);
    BOOST_TEST((members.table().find(silent)->record.state == host_state::dead));
    BOOST_TEST(!members.table().find(silent)->gone());
}

BOOST_AUTO_TEST_CASE(a_paused_host_suspects_nobody_for_its_own_silence)
{
    auto members = make("a", 10);
    membership_actions actions;
    members.on_host_list(at(0s), list_of({"a", "b"}), actions);
    members.on_tick(at(0s), actions);
    actions.clear();
    members.on_tick(at(2s), actions);
    BOOST_TEST(
        (members.table().find(host_id::of("b"))->record.state == host_state::alive));
    BOOST_TEST(members.health_score() > 0U);

    // After a longer pause the host takes a new incarnation, as a new process does
    members.on_tick(at(6s), actions);
    BOOST_TEST(members.table().self().incarnation == 11U);
}

BOOST_AUTO_TEST_CASE(a_suspected_host_refutes_the_suspicion)
{
    auto members = make("a", 10);
    auto claim = record_of("a", 10);
    claim.state = host_state::suspect;
    probe message;
    message.sender = record_of("b", 20);
    message.target = host_id::of("a");
    message.updates.hosts = {claim};
    membership_actions actions;
    members.on_probe(at(0s), message, actions);
    auto const* reply = std::get_if<send_probe_reply>(&actions.back());
    BOOST_TEST_REQUIRE(reply != nullptr);
    BOOST_TEST(reply->message.sender.counter == 1U);
    BOOST_TEST(reply->message.requester_incarnation == 20U);
}

BOOST_AUTO_TEST_CASE(a_host_takes_a_higher_incarnation_than_its_earlier_process)
{
    auto members = make("a", 10);
    probe message;
    message.sender = record_of("b", 20);
    message.target = host_id::of("a");
    message.updates.hosts = {record_of("a", 15)};
    membership_actions actions;
    members.on_probe(at(0s), message, actions);
    BOOST_TEST(members.table().self().incarnation == 16U);
}

BOOST_AUTO_TEST_CASE(exchange_needs_a_reply_that_names_the_present_incarnation)
{
    auto members = make("a", 30);
    membership_actions actions;
    members.on_host_list(at(0s), list_of({"a", "b"}), actions);
    members.on_tick(at(0s), actions);
    probe_reply reply;
    for (auto const& action : actions)
    {
        if (auto const* sent = std::get_if<send_probe>(&action))
            reply.sequence = sent->message.sequence;
    }
    BOOST_TEST_REQUIRE(reply.sequence != 0U);
    reply.sender = record_of("b", 20);
    reply.subject = reply.sender.host;
    reply.requester_incarnation = 29;
    members.on_probe_reply(at(1ms), reply, actions);
    BOOST_TEST(!members.table().find(reply.subject)->incarnations_exchanged);
}

BOOST_AUTO_TEST_SUITE_END()
