#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/lease_witness.hpp>
#include <marjorampath/lease/witness_activation.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <serving/entry/peer_codec.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <variant>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t host_count = 6;
constexpr std::uint32_t resource_count = 9;

lease_options fleet_leases()
{
    return {.term = 1'200ms,
            .renew_interval = 350ms,
            .settle = 1'400ms,
            .rebalance_delay = 10min,
            .zones = {zone_id::of("fleet")},
            .witnesses_per_zone = 5,
            .wait_for_younger = false};
}

peer_address address_of(std::uint32_t index)
{
    return {.address = 0x7f000001U + index, .port = 9};
}

host_id host_of(std::uint32_t index)
{
    return host_id::of(fmt::format("host-{}", index));
}

// One host: its table of peers and its lease machines
struct host_machine
{
    host_machine(std::uint32_t index, std::uint64_t incarnation)
        : self{.host = host_of(index),
               .zone = zone_id::of(fmt::format("z{}", index / 2)),
               .incarnation = incarnation,
               .address = address_of(index)},
          peers(self, {address_of(0), address_of(2)}, {}),
          holder(self.host, fleet_leases()), witness(self.host, fleet_leases()),
          activation(fleet_leases())
    {
    }

    peer_heartbeat self;
    peer_table peers;
    lease_holder holder;
    lease_witness witness;
    witness_activation activation;
    std::map<resource_id, std::uint64_t> last_numbers;
};

// Hosts in virtual time that are killed, cut off and frozen
class fleet_world
{
public:
    explicit fleet_world(std::uint32_t seed) : random_(seed)
    {
        for (std::uint32_t index = 0; index < host_count; ++index)
            start(index);
    }

    void start(std::uint32_t index)
    {
        hosts_[index] = std::make_unique<host_machine>(index, ++incarnations_);
        std::vector<leased_resource> resources;
        for (std::uint32_t each = 0; each < resource_count; ++each)
            resources.push_back({resource_id(each + 1), {}});
        lease_actions actions;
        hosts_[index]->holder.set_resources(now_, resources, actions);
    }

    void kill(std::uint32_t index)
    {
        hosts_[index].reset();
    }

    void cut(std::set<std::uint32_t> hosts)
    {
        cut_ = std::move(hosts);
    }

    void freeze(std::uint32_t index, duration time)
    {
        frozen_until_[index] = now_ + time;
    }

    // Runs for a time; checks that no two hosts may order the same resource
    void run(duration time)
    {
        for (auto const end = now_ + time; now_ < end; now_ += 50ms)
        {
            for (std::uint32_t index = 0; index < host_count; ++index)
                if (hosts_[index] && now_ >= frozen_until_[index])
                    tick(index);
            check();
        }
    }

    // Resources that some host may order now
    std::size_t held()
    {
        std::size_t count = 0;
        for (std::uint32_t each = 0; each < resource_count; ++each)
            for (auto const& host : hosts_)
                if (host &&
                    host->holder.fencing_number_for_order(resource_id(each + 1), now_))
                    ++count;
        return count;
    }

    std::size_t violations = 0;

private:
    [[nodiscard]] bool connected(std::uint32_t left, std::uint32_t right) const
    {
        return cut_.contains(left) == cut_.contains(right) || left == right;
    }

    void tick(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        if (++beats_[index] % 4 == 0)
            last_heartbeat(index);
        host.peers.on_tick(now_);
        auto known = host.peers.known_hosts(now_);
        for (auto& each : known)
            each.record.zone = zone_id::of("fleet");
        host.activation.update(now_, host.self.host, known);
        host.holder.set_hosts(known, host.peers.incarnation());
        lease_actions actions;
        host.holder.on_tick(now_, wall_, actions);
        carry_out(index, actions);
    }

    void last_heartbeat(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        for (auto const& address : host.peers.targets(now_))
        {
            auto const to = address.address - address_of(0).address;
            if (to >= host_count || !hosts_[to] || !connected(index, to) ||
                now_ < frozen_until_[to] || random_() % 50 == 0)
                continue;
            auto last_heartbeat = host.self;
            last_heartbeat.incarnation = host.peers.incarnation();
            auto const known = host.peers.host_at(address);
            last_heartbeat.mentions = host.peers.mentions(known.value_or(host_id()));
            hosts_[to]->peers.on_heartbeat(last_heartbeat, now_);
        }
    }

    std::uint32_t index_of(host_id host) const
    {
        for (std::uint32_t index = 0; index < host_count; ++index)
            if (host_of(index) == host)
                return index;
        return host_count;
    }

    bool reachable(std::uint32_t from, std::uint32_t to)
    {
        return to < host_count && hosts_[to] && connected(from, to) &&
               now_ >= frozen_until_[to] && random_() % 50 != 0;
    }

    void carry_out(std::uint32_t index, lease_actions const& actions)
    {
        for (auto const& action : actions)
        {
            if (auto const* send = std::get_if<send_lease_request>(&action))
            {
                auto const to = index_of(send->to);
                if (!reachable(index, to))
                    continue;
                auto& witness = *hosts_[to];
                auto const reply = witness.witness.on_request(
                    now_, send->request, witness.peers.incarnation(), witness.activation);
                lease_actions next;
                hosts_[index]->holder.on_reply(now_, wall_, reply, next);
                carry_out(index, next);
            }
            else if (auto const* release = std::get_if<send_lease_release>(&action))
            {
                auto const to = index_of(release->to);
                if (reachable(index, to))
                    hosts_[to]->witness.on_release(now_, release->release);
            }
        }
    }

    void check()
    {
        for (std::uint32_t each = 0; each < resource_count; ++each)
        {
            std::size_t holders = 0;
            for (auto const& host : hosts_)
                if (host &&
                    host->holder.fencing_number_for_order(resource_id(each + 1), now_))
                    ++holders;
            violations += holders > 1 ? 1 : 0;
        }
    }

    time_point now_{1'000s};
    wall_milliseconds wall_{1'700'000'000'000};
    std::mt19937 random_;
    std::uint64_t incarnations_ = 1'000;
    std::array<std::unique_ptr<host_machine>, host_count> hosts_;
    std::array<time_point, host_count> frozen_until_{};
    std::array<std::uint32_t, host_count> beats_{};
    std::set<std::uint32_t> cut_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

BOOST_AUTO_TEST_CASE(a_fleet_that_starts_at_once_holds_all_leases_within_seconds)
{
    fleet_world world(1);
    world.run(5s);
    BOOST_TEST(world.held() == resource_count);
    BOOST_TEST(world.violations == 0u);
}

BOOST_AUTO_TEST_CASE(a_restart_takes_no_lease_from_the_others)
{
    fleet_world world(2);
    world.run(5s);
    for (std::uint32_t index = 0; index < host_count; ++index)
    {
        world.kill(index);
        world.run(500ms);
        world.start(index);
        world.run(100ms);
        BOOST_TEST(world.held() >= resource_count / 3, "host " << index);
        world.run(3s);
        BOOST_TEST(world.held() == resource_count, "host " << index);
    }
    BOOST_TEST(world.violations == 0u);
}

BOOST_AUTO_TEST_CASE(two_hosts_that_are_cut_off_hold_nothing_and_the_rest_holds_all)
{
    fleet_world world(3);
    world.run(5s);
    world.cut({0, 1});
    world.run(12s);
    BOOST_TEST(world.held() == resource_count);
    world.cut({});
    world.run(3s);
    BOOST_TEST(world.held() == resource_count);
    BOOST_TEST(world.violations == 0u);
}

BOOST_AUTO_TEST_CASE(random_faults_never_make_two_holders)
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
    {
        fleet_world world(seed);
        std::mt19937 random(seed + 7'919);
        for (int step = 0; step < 25; ++step)
        {
            auto const index = static_cast<std::uint32_t>(random() % host_count);
            switch (random() % 5)
            {
            case 0:
                world.kill(index);
                world.run(std::chrono::milliseconds(random() % 3'000));
                world.start(index);
                break;
            case 1:
                world.cut({index, static_cast<std::uint32_t>(random() % host_count)});
                world.run(std::chrono::milliseconds(random() % 12'000));
                world.cut({});
                break;
            case 2:
                world.freeze(index, std::chrono::milliseconds(random() % 6'000));
                break;
            default:
                break;
            }
            world.run(std::chrono::milliseconds(random() % 2'000));
        }
        BOOST_TEST(world.violations == 0u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_beat_of_an_earlier_process_is_ignored)
{
    host_machine here(0, 100);
    peer_heartbeat last_heartbeat{
        .host = host_of(1), .incarnation = 20, .address = address_of(1)};
    time_point const now(1'000s);
    BOOST_TEST((here.peers.on_heartbeat(last_heartbeat, now) == peer_change::appeared));
    last_heartbeat.incarnation = 19;
    last_heartbeat.leaving = true;
    BOOST_TEST((here.peers.on_heartbeat(last_heartbeat, now) == peer_change::none));
    BOOST_TEST(!here.peers.peers().at(host_of(1)).last_heartbeat.leaving);
}

BOOST_AUTO_TEST_CASE(a_clock_that_went_back_does_not_hide_a_restarted_host)
{
    host_machine here(0, 50);
    peer_heartbeat last_heartbeat{
        .host = host_of(1), .incarnation = 20, .address = address_of(1)};
    last_heartbeat.mentions.push_back({host_of(0), 90, address_of(0)});
    here.peers.on_heartbeat(last_heartbeat, time_point(1'000s));
    BOOST_TEST(here.peers.incarnation() == 91u);
}

BOOST_AUTO_TEST_CASE(a_larger_fleet_has_few_readers_in_each_zone_and_small_beats)
{
    host_machine here(0, 1);
    time_point const now(1'000s);
    std::size_t readers = 0;
    for (std::uint32_t index = 1; index <= 90; ++index)
        here.peers.on_heartbeat({.host = host_of(index),
                                 .zone = here.self.zone,
                                 .incarnation = 1,
                                 .address = address_of(index)},
                                now);
    BOOST_TEST(here.peers.mentions(host_of(1)).size() <= 9u);

    // The same hosts, each from its own point of view
    for (std::uint32_t self = 0; self <= 90; ++self)
    {
        host_machine host(self, 1);
        host.peers = peer_table({.host = host_of(self),
                                 .zone = here.self.zone,
                                 .incarnation = 1,
                                 .address = address_of(self)},
                                {}, {});
        for (std::uint32_t index = 0; index <= 90; ++index)
            host.peers.on_heartbeat({.host = host_of(index),
                                     .zone = here.self.zone,
                                     .incarnation = 1,
                                     .address = address_of(index)},
                                    now);
        readers += host.peers.is_reader(now) ? 1 : 0;
    }
    BOOST_TEST(readers == 2u);
}

BOOST_AUTO_TEST_CASE(messages_survive_the_wire)
{
    peer_heartbeat last_heartbeat{
        .host = host_of(1), .incarnation = 7, .address = address_of(1)};
    last_heartbeat.mentions.push_back({host_of(2), 9, address_of(2)});
    last_heartbeat.engines.push_back(
        {.endpoint = endpoint_id(5),
         .started_at_ms = 3,
         .accepts_orders = true,
         .models = {"m"},
         .adapters = {{.name = "m/a1", .version = 2, .ready_in = 5ms}}});
    last_heartbeat.usage.push_back(
        {.endpoint = endpoint_id(5),
         .in_flight = 2,
         .adapters = {{.name = "m/a1", .in_flight = 1, .sent = 4}}});
    last_heartbeat.convictions.push_back(
        {.fingerprint = fingerprint_id(8), .first_crash = 1});
    auto const read =
        serving::decode_peer_message(serving::encode_peer_message(last_heartbeat))
            .value();
    auto const& back = std::get<peer_heartbeat>(read);
    BOOST_TEST((back.host == last_heartbeat.host));
    BOOST_TEST((back.mentions.at(0).address == address_of(2)));
    BOOST_TEST(back.engines.at(0).adapters.at(0).name == "m/a1");
    BOOST_TEST((back.engines.at(0).adapters.at(0).ready_in == 5ms));
    BOOST_TEST(back.usage.at(0).adapters.at(0).sent == 4u);
    BOOST_TEST((back.convictions.at(0).fingerprint == fingerprint_id(8)));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_dropped)
{
    constexpr std::uint32_t seed = 4;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    auto const whole = serving::encode_peer_message(load_request{endpoint_id(1), "m/a1"});
    for (int turn = 0; turn < 2'000; ++turn)
    {
        auto bytes = whole;
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        serving::decode_peer_message(bytes);
    }
    BOOST_TEST(!serving::decode_peer_message(""));
}

BOOST_AUTO_TEST_SUITE_END()
