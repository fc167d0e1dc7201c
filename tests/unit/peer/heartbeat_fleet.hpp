#pragma once

#include <marjorampath/peer/heartbeat_relay.hpp>
#include <marjorampath/peer/heartbeat_router.hpp>
#include <marjorampath/peer/peer_table.hpp>

#include <fmt/format.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace marjorampath::test
{

/// Hosts that send each other heartbeats in virtual time, over links that lose datagrams
/// or are cut
class heartbeat_fleet
{
public:
    struct options
    {
        std::uint32_t hosts = 0;
        std::uint32_t zones = 3;
        std::uint32_t seed = 1;
        // Share of datagrams that are lost
        double loss = 0;
        // Hosts below this index run a build that sends heartbeats to every other host
        std::uint32_t old_builds = 0;
    };

    explicit heartbeat_fleet(options values) : options_(values), random_(values.seed)
    {
        for (std::uint32_t index = 0; index < values.hosts; ++index)
            start(index);
    }

    static host_id host_of(std::uint32_t index)
    {
        return host_id::of(fmt::format("host-{}", index));
    }

    void start(std::uint32_t index)
    {
        peer_heartbeat self{.host = host_of(index),
                            .zone = zone(index),
                            .incarnation = ++incarnations_,
                            .address = address_of(index),
                            .passes_on = index >= options_.old_builds};
        if (machines_.size() <= index)
            machines_.resize(index + 1);
        machines_[index] = std::make_unique<machine>(self, seeds());
    }

    void kill(std::uint32_t index)
    {
        machines_[index].reset();
    }

    // Cuts the links between hosts for which the function gives different values
    void cut(std::function<int(std::uint32_t)> side)
    {
        side_ = std::move(side);
    }

    // Loses all datagrams of a host, as a full link does
    void mute(std::uint32_t index)
    {
        muted_ = index;
    }

    void run(duration time)
    {
        for (auto const end = now_ + time; now_ < end; now_ += step)
        {
            for (; !in_transit_.empty() && in_transit_.front().arrives <= now_;
                 in_transit_.pop_front())
                receive(in_transit_.front());
            for (std::uint32_t index = 0; index < machines_.size(); ++index)
                if (machines_[index] && now_ >= machines_[index]->next_round_at)
                    send_round(index);
        }
    }

    // Pairs of running hosts of which the first hears the second
    [[nodiscard]] std::size_t pairs_heard() const
    {
        return count_pairs([&](peer_table const& table, host_id host)
                           { return table.is_responsive(host, now_); });
    }

    // Pairs of running hosts that have exchanged incarnations
    [[nodiscard]] std::size_t pairs_exchanged() const
    {
        return count_pairs(
            [&](peer_table const& table, host_id host)
            {
                auto const found = table.peers().find(host);
                return found != table.peers().end() &&
                       found->second.incarnations_exchanged;
            });
    }

    // Running hosts that hear a host
    [[nodiscard]] std::size_t hosts_that_hear(std::uint32_t index) const
    {
        std::size_t count = 0;
        for (auto const& each : machines_)
            count += each && each->peers.is_responsive(host_of(index), now_) ? 1U : 0U;
        return count;
    }

    static peer_address address(std::uint32_t index)
    {
        return address_of(index);
    }

    [[nodiscard]] zone_id zone(std::uint32_t index) const
    {
        return zone_id::of(fmt::format("z{}", index % options_.zones));
    }

    [[nodiscard]] peer_table const& table(std::uint32_t index) const
    {
        return machines_[index]->peers;
    }

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    // Sets what the host of an index reports in its heartbeats
    std::function<void(std::uint32_t, peer_heartbeat&)> fill_heartbeat;
    // Heartbeats sent, with those that were passed on
    std::size_t datagrams = 0;
    // Heartbeats that hosts received to pass them on, by index
    std::map<std::uint32_t, std::size_t> to_pass_on;
    // Heartbeats that hosts received directly, by index
    std::map<std::uint32_t, std::size_t> received;
    // Times at which a running host took another running host for silent
    std::size_t false_silences = 0;

private:
    static constexpr duration step = std::chrono::milliseconds(25);

    struct machine
    {
        machine(peer_heartbeat own, std::vector<peer_address> const& seeds)
            : self(std::move(own)), peers(self, seeds, {}),
              router(self.host, self.zone, {}), relay({})
        {
        }

        peer_heartbeat self;
        peer_table peers;
        heartbeat_router router;
        heartbeat_relay relay;
        std::uint64_t sequence = 0;
        time_point next_round_at{};
    };

    struct datagram
    {
        time_point arrives;
        std::uint32_t to = 0;
        std::shared_ptr<peer_heartbeat const> heartbeat;
    };

    static peer_address address_of(std::uint32_t index)
    {
        return {.address = 0x0a000001U + index, .port = 9};
    }

    [[nodiscard]] std::vector<peer_address> seeds() const
    {
        return {address_of(0), address_of(options_.hosts / 2),
                address_of(options_.hosts - 1)};
    }

    template <class Predicate>
    [[nodiscard]] std::size_t count_pairs(Predicate predicate) const
    {
        std::size_t count = 0;
        for (std::uint32_t from = 0; from < machines_.size(); ++from)
            for (std::uint32_t to = 0; to < machines_.size(); ++to)
                count += from != to && machines_[from] && machines_[to] &&
                                 predicate(machines_[from]->peers, host_of(to))
                             ? 1U
                             : 0U;
        return count;
    }

    void send_round(std::uint32_t index)
    {
        auto& from = *machines_[index];
        for (auto const host : from.peers.on_tick(now_))
            for (std::uint32_t other = 0; other < machines_.size(); ++other)
                if (machines_[other] && host_of(other) == host &&
                    side_(other) == side_(index))
                    ++false_silences;
        auto common = from.self;
        common.incarnation = from.peers.incarnation();
        if (fill_heartbeat)
            fill_heartbeat(index, common);
        auto const grouped = common.passes_on;
        if (grouped)
            common.sequence = ++from.sequence;
        auto carrier = common;
        carrier.relayed = from.relay.take(now_);
        if (grouped)
            for (auto const& target : from.router.next_round(from.peers, now_))
                send(index, target.in_group ? carrier : common, target);
        else
            for (auto const& address : from.peers.targets(now_))
                send(index, common,
                     {.address = address, .host = from.peers.host_at(address)});
        from.next_round_at = now_ + from.peers.heartbeat_interval();
    }

    void send(std::uint32_t from, peer_heartbeat heartbeat,
              heartbeat_target const& target)
    {
        ++datagrams;
        heartbeat.to_pass_on = target.passes_on;
        heartbeat.mentions = machines_[from]->peers.mentions(
            target.host.value_or(host_id()), target.introduced);
        auto const to = target.address.address - address_of(0).address;
        std::bernoulli_distribution lost(options_.loss);
        if (to < machines_.size() && from != muted_ && side_(from) == side_(to) &&
            !lost(random_))
            in_transit_.push_back(
                {.arrives = now_ + step,
                 .to = to,
                 .heartbeat = std::make_shared<peer_heartbeat const>(heartbeat)});
    }

    void receive(datagram const& each)
    {
        if (!machines_[each.to])
            return;
        auto& host = *machines_[each.to];
        auto const& heartbeat = *each.heartbeat;
        ++received[each.to];
        to_pass_on[each.to] += heartbeat.to_pass_on ? 1U : 0U;
        if (host.self.passes_on && heartbeat.to_pass_on)
        {
            // The model's encoded message is a key of the heartbeat
            auto const key =
                fmt::format("{}-{}", heartbeat.host.number(), heartbeat.sequence);
            encoded_[key] = each.heartbeat;
            host.relay.add(heartbeat.host, key, now_);
        }
        apply(host, heartbeat, now_);
        if (!host.self.passes_on)
            return;
        for (auto const& relayed : heartbeat.relayed)
            apply(host, *encoded_.at(relayed.message), now_ - relayed.age);
    }

    void apply(machine& host, peer_heartbeat const& heartbeat, time_point received_at)
    {
        auto const change = host.peers.on_heartbeat(heartbeat, received_at);
        if (change == peer_change::appeared || change == peer_change::restarted)
            host.router.on_appeared(heartbeat.host);
    }

    options options_;
    std::minstd_rand random_;
    std::uint64_t incarnations_ = 0;
    time_point now_{std::chrono::seconds(1'000)};
    std::vector<std::unique_ptr<machine>> machines_;
    std::deque<datagram> in_transit_;
    std::map<std::string, std::shared_ptr<peer_heartbeat const>> encoded_;
    std::function<int(std::uint32_t)> side_ = [](std::uint32_t) { return 0; };
    std::optional<std::uint32_t> muted_;
};

} // namespace marjorampath::test
