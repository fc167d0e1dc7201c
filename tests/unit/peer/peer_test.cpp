#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/lease_witness.hpp>
#include <marjorampath/lease/witness_activation.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <serving/entry/peer_codec.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <limits>
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
            .witness_activation_delay = 1'400ms,
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

// A host with its peer table and lease state machines
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

// Simulates in virtual time hosts that are killed, partitioned and frozen
class fleet_simulation
{
public:
    explicit fleet_simulation(std::uint32_t seed) : random_(seed)
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

    void partition(std::set<std::uint32_t> hosts)
    {
        partitioned_ = std::move(hosts);
    }

    void freeze(std::uint32_t index, duration time)
    {
        frozen_until_[index] = now_ + time;
    }

    // Runs for a time and counts in `violations` whenever two hosts may order the same
    // resource
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

    // Number of (host, resource) pairs in which the host may order the resource now
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
        return partitioned_.contains(left) == partitioned_.contains(right) ||
               left == right;
    }

    void tick(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        if (++ticks_[index] % 4 == 0)
            send_heartbeats(index);
        host.peers.on_tick(now_);
        auto known = host.peers.known_hosts(now_);
        for (auto& each : known)
            each.record.zone = zone_id::of("fleet");
        host.activation.update(now_, host.self.host, known);
        host.holder.set_hosts(known, host.peers.incarnation());
        lease_actions actions;
        host.holder.on_tick(now_, wall_, actions);
        execute_actions(index, actions);
    }

    void send_heartbeats(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        for (auto const& address : host.peers.targets(now_))
        {
            auto const to = address.address - address_of(0).address;
            if (to >= host_count || !hosts_[to] || !connected(index, to) ||
                now_ < frozen_until_[to] || random_() % 50 == 0)
                continue;
            auto heartbeat = host.self;
            heartbeat.incarnation = host.peers.incarnation();
            auto const known = host.peers.host_at(address);
            heartbeat.mentions = host.peers.mentions(known.value_or(host_id()));
            hosts_[to]->peers.on_heartbeat(heartbeat, now_);
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

    void execute_actions(std::uint32_t index, lease_actions const& actions)
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
                execute_actions(index, next);
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
    std::array<std::uint32_t, host_count> ticks_{};
    std::set<std::uint32_t> partitioned_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

BOOST_AUTO_TEST_CASE(a_fleet_that_starts_at_once_holds_all_leases_within_seconds)
{
    fleet_simulation fleet(1);
    fleet.run(5s);
    BOOST_TEST(fleet.held() == resource_count);
    BOOST_TEST(fleet.violations == 0u);
}

BOOST_AUTO_TEST_CASE(a_restart_costs_other_hosts_no_lease)
{
    fleet_simulation fleet(2);
    fleet.run(5s);
    for (std::uint32_t index = 0; index < host_count; ++index)
    {
        fleet.kill(index);
        fleet.run(500ms);
        fleet.start(index);
        fleet.run(100ms);
        BOOST_TEST(fleet.held() >= resource_count / 3, "host " << index);
        fleet.run(3s);
        BOOST_TEST(fleet.held() == resource_count, "host " << index);
    }
    BOOST_TEST(fleet.violations == 0u);
}

BOOST_AUTO_TEST_CASE(the_majority_takes_over_the_leases_of_two_partitioned_hosts)
{
    fleet_simulation fleet(3);
    fleet.run(5s);
    fleet.partition({0, 1});
    fleet.run(12s);
    BOOST_TEST(fleet.held() == resource_count);
    fleet.partition({});
    fleet.run(3s);
    BOOST_TEST(fleet.held() == resource_count);
    BOOST_TEST(fleet.violations == 0u);
}

BOOST_AUTO_TEST_CASE(random_faults_never_cause_two_holders)
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
    {
        fleet_simulation fleet(seed);
        std::mt19937 random(seed + 7'919);
        for (int step = 0; step < 25; ++step)
        {
            auto const index = static_cast<std::uint32_t>(random() % host_count);
            switch (random() % 5)
            {
            case 0:
                fleet.kill(index);
                fleet.run(std::chrono::milliseconds(random() % 3'000));
                fleet.start(index);
                break;
            case 1:
                fleet.partition(
                    {index, static_cast<std::uint32_t>(random() % host_count)});
                fleet.run(std::chrono::milliseconds(random() % 12'000));
                fleet.partition({});
                break;
            case 2:
                fleet.freeze(index, std::chrono::milliseconds(random() % 6'000));
                break;
            default:
                break;
            }
            fleet.run(std::chrono::milliseconds(random() % 2'000));
        }
        BOOST_TEST(fleet.violations == 0u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_heartbeat_of_an_earlier_process_is_ignored)
{
    host_machine here(0, 100);
    peer_heartbeat heartbeat{
        .host = host_of(1), .incarnation = 20, .address = address_of(1)};
    time_point const now(1'000s);
    BOOST_TEST((here.peers.on_heartbeat(heartbeat, now) == peer_change::appeared));
    heartbeat.incarnation = 19;
    heartbeat.leaving = true;
    BOOST_TEST((here.peers.on_heartbeat(heartbeat, now) == peer_change::ignored));
    BOOST_TEST(!here.peers.peers().at(host_of(1)).last_heartbeat.leaving);
}

// The others' parts of fleet-wide limits grew while hosts only seemed to be silent
BOOST_AUTO_TEST_CASE(silent_and_gone_hosts_share_the_limits_until_they_are_removed)
{
    peer_table table({.host = host_of(0)}, {}, {});
    time_point const now(1'000s);
    for (std::uint32_t index = 1; index <= 5; ++index)
        table.on_heartbeat({.host = host_of(index),
                            .incarnation = 1,
                            .address = address_of(index),
                            .gone = index == 5},
                           now);
    table.on_tick(now + 9s);
    BOOST_TEST(table.responsive_hosts(now + 9s) == 1U);
    BOOST_TEST(table.sharing_hosts() == 6U);
    table.on_tick(now + 21s);
    BOOST_TEST(table.sharing_hosts() == 1U);
}

BOOST_AUTO_TEST_CASE(a_clock_that_went_back_does_not_hide_a_restarted_host)
{
    host_machine here(0, 50);
    peer_heartbeat heartbeat{
        .host = host_of(1), .incarnation = 20, .address = address_of(1)};
    heartbeat.mentions.push_back({host_of(0), 90, address_of(0)});
    here.peers.on_heartbeat(heartbeat, time_point(1'000s));
    BOOST_TEST(here.peers.incarnation() == 91u);
}

BOOST_AUTO_TEST_CASE(a_larger_fleet_has_few_readers_in_each_zone_and_small_heartbeats)
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

    // The same hosts, each with its own table
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

BOOST_AUTO_TEST_CASE(messages_decode_to_what_was_encoded)
{
    peer_heartbeat heartbeat{
        .host = host_of(1), .incarnation = 7, .address = address_of(1)};
    heartbeat.mentions.push_back({host_of(2), 9, address_of(2)});
    heartbeat.engines.push_back(
        {.endpoint = endpoint_id(5),
         .started_at_ms = 3,
         .accepts_orders = true,
         .models = {"m"},
         .adapters = {{.name = "m/a1", .version = 2, .ready_in = 5ms}}});
    heartbeat.usage.push_back(
        {.endpoint = endpoint_id(5),
         .in_flight = 2,
         .adapters = {{.name = "m/a1", .in_flight = 1, .sent = 4}}});
    heartbeat.convictions.push_back({.fingerprint = fingerprint_id(8), .first_crash = 1});
    heartbeat.rate_limits.push_back(
        {.endpoint = endpoint_id(9), .started_at_ms = 3, .rate = 2.5, .age = 7ms});
    heartbeat.operator_change = {.era = 2, .revision = 40};
    heartbeat.kept_configuration = 6;
    heartbeat.listing_position = {.era = 3, .revision = 50};
    auto const read =
        serving::decode_peer_message(serving::encode_peer_message(heartbeat)).value();
    auto const& back = std::get<peer_heartbeat>(read);
    BOOST_TEST((back.host == heartbeat.host));
    BOOST_TEST((back.operator_change == heartbeat.operator_change));
    BOOST_TEST(back.kept_configuration == 6U);
    BOOST_TEST((back.listing_position == heartbeat.listing_position));
    BOOST_TEST((back.mentions.at(0).address == address_of(2)));
    BOOST_TEST(back.engines.at(0).adapters.at(0).name == "m/a1");
    BOOST_TEST((back.engines.at(0).adapters.at(0).ready_in == 5ms));
    BOOST_TEST(back.usage.at(0).adapters.at(0).sent == 4u);
    BOOST_TEST((back.convictions.at(0).fingerprint == fingerprint_id(8)));
    BOOST_TEST(back.rate_limits.at(0).rate.value() == 2.5);
    BOOST_TEST((back.rate_limits.at(0).age == 7ms));
}

BOOST_AUTO_TEST_CASE(a_permit_survives_encoding_and_an_invalid_rate_is_rejected)
{
    permit_reply const reply{.number = 5,
                             .granted = true,
                             .wait = 20ms,
                             .limit = {.endpoint = endpoint_id(9), .rate = 0.5}};
    auto const read =
        serving::decode_peer_message(serving::encode_peer_message(reply)).value();
    auto const& back = std::get<permit_reply>(read);
    BOOST_TEST(back.number == 5u);
    BOOST_TEST(back.granted);
    BOOST_TEST((back.wait == 20ms));
    BOOST_TEST(back.limit.rate.value() == 0.5);

    auto invalid = reply.limit;
    invalid.rate = -1;
    BOOST_TEST(!serving::decode_peer_message(serving::encode_peer_message(invalid)));
    invalid.rate = std::numeric_limits<double>::quiet_NaN();
    BOOST_TEST(!serving::decode_peer_message(serving::encode_peer_message(invalid)));
}

BOOST_AUTO_TEST_CASE(the_origin_of_a_stream_survives_encoding)
{
    stream_origin const origin{.stream = stream_id(4), .software_version = "v1.2"};
    auto const read =
        serving::decode_peer_message(serving::encode_peer_message(origin)).value();
    BOOST_TEST((std::get<stream_origin>(read).stream == stream_id(4)));
    BOOST_TEST(std::get<stream_origin>(read).software_version == "v1.2");
    for (auto const& version :
         {std::optional<std::string>(), std::optional<std::string>("")})
    {
        stream_origin_reply const reply{.number = 7, .software_version = version};
        auto const back =
            serving::decode_peer_message(serving::encode_peer_message(reply)).value();
        BOOST_TEST(std::get<stream_origin_reply>(back).number == 7u);
        BOOST_TEST(std::get<stream_origin_reply>(back).software_version.has_value() ==
                   version.has_value());
    }
}

BOOST_AUTO_TEST_CASE(corrupted_messages_do_not_crash_the_decoder)
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
