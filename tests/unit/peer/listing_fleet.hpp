#pragma once

#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/peer/relay_choice.hpp>
#include <marjorampath/peer/relay_failures.hpp>
#include <marjorampath/peer/store_fallback.hpp>
#include <tests/unit/peer/heartbeat_fleet.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace marjorampath::test
{

/// Hosts in virtual time that read the contents of the store from it or from each other,
/// by what their heartbeats tell. The listing of endpoints changes twice a second.
class listing_fleet
{
public:
    struct options
    {
        std::uint32_t hosts = 91;
        std::uint32_t zones = 4;
        std::uint32_t seed = 1;
        // Share of heartbeats that are lost
        double loss = 0;
    };

    explicit listing_fleet(options values)
        : options_(values), heartbeats_({.hosts = values.hosts,
                                         .zones = values.zones,
                                         .seed = values.seed,
                                         .loss = values.loss}),
          hosts_(values.hosts)
    {
        heartbeats_.fill_heartbeat = [this](std::uint32_t index, peer_heartbeat& to)
        {
            to.operator_change = {.revision = hosts_[index].operator_revision};
            to.listing_position = hosts_[index].catalog.position();
            to.listing_age = age(index);
        };
    }

    // Makes all reads from other hosts fail at hosts of which the function says so
    void fail_relays(std::function<bool(std::uint32_t)> fails)
    {
        relays_fail_ = std::move(fails);
    }

    // Makes all reads of the store fail at hosts of which the function says so
    void fail_store(std::function<bool(std::uint32_t)> fails)
    {
        store_fails_ = std::move(fails);
    }

    // Returns the highest age that the listing of a host reaches meanwhile
    duration run(duration time)
    {
        duration largest_age{0};
        for (auto const end = now() + time; now() < end;)
        {
            heartbeats_.run(step);
            for (std::uint32_t index = 0; index < options_.hosts; ++index)
            {
                run_tasks(index);
                largest_age = std::max(largest_age, age(index));
            }
        }
        return largest_age;
    }

    // The operator writes once more
    void publish()
    {
        ++operator_revision_;
    }

    // Number of hosts that do not have what the operator wrote last
    [[nodiscard]] std::ptrdiff_t hosts_behind() const
    {
        return std::count_if(hosts_.begin(), hosts_.end(),
                             [&](host const& each)
                             { return each.operator_revision < operator_revision_; });
    }

    [[nodiscard]] std::uint32_t host_count() const
    {
        return options_.hosts;
    }

    // Whether a host reads the store regularly
    [[nodiscard]] bool is_reader(std::uint32_t index) const
    {
        return heartbeats_.table(index).is_reader(now());
    }

    // Time since the listing of a host was read from the store
    [[nodiscard]] duration age(std::uint32_t index) const
    {
        auto const listed_at = hosts_[index].catalog.listed_at();
        return listed_at ? now() - *listed_at : duration{0};
    }

    // Number of listings that were read from the store
    std::size_t store_reads = 0;

private:
    static constexpr duration step = std::chrono::milliseconds(25);
    // The timings of an entry node
    static constexpr duration listing_interval = std::chrono::milliseconds(800);
    static constexpr duration relay_interval = std::chrono::milliseconds(300);
    static constexpr duration max_listing_age = std::chrono::milliseconds(1'500);
    static constexpr duration other_zone_penalty = std::chrono::milliseconds(900);
    static constexpr duration change_interval = std::chrono::milliseconds(500);
    // Within this time readers get what the operator writes
    static constexpr duration watch_interval = std::chrono::milliseconds(100);
    // From the request to the end of the answer, over a thin link
    static constexpr duration read_time = std::chrono::milliseconds(75);
    static constexpr duration operator_read_time = std::chrono::milliseconds(200);
    // Until a read is given up
    static constexpr duration read_timeout = std::chrono::milliseconds(300);

    // A read from another host that has begun
    struct pending_read
    {
        time_point ends_at;
        std::uint32_t relay = 0;
        bool fails = false;
    };

    struct host
    {
        endpoint_catalog catalog{{}};
        relay_failures failures;
        std::optional<pending_read> read;
        std::uint64_t operator_revision = 1;
        relay_failures operator_failures;
        std::optional<pending_read> operator_read;
        store_fallback fallback{{}};
    };

    [[nodiscard]] time_point now() const
    {
        return heartbeats_.now();
    }

    [[nodiscard]] bool due(duration phase, duration interval) const
    {
        return (now().time_since_epoch() + phase) % interval < step;
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        return static_cast<std::uint64_t>(now().time_since_epoch() / change_interval);
    }

    // The host that an address belongs to
    static std::uint32_t index_of(peer_address const& address)
    {
        return address.address - heartbeat_fleet::address(0).address;
    }

    void run_tasks(std::uint32_t index)
    {
        auto& fallback = hosts_[index].fallback;
        auto const reads_regularly =
            due(index * std::chrono::milliseconds(37), listing_interval) &&
            is_reader(index);
        if (reads_regularly || fallback.time_to_listing(age(index), now()) == duration{0})
            read_store(index);
        if (due(index * std::chrono::milliseconds(29), watch_interval) &&
            (is_reader(index) || fallback.wants_operator(now())))
            read_operator(index);
        finish_reads(index);
        if (due(index * std::chrono::milliseconds(71), relay_interval))
            read_from_peers(index);
    }

    void read_store(std::uint32_t index)
    {
        ++store_reads;
        auto& host = hosts_[index];
        auto const fails = store_fails_(index);
        host.fallback.on_listing_read(!fails, age(index), now());
        if (!fails)
            host.catalog.apply_listing(now(), {.revision = revision()}, {});
    }

    void read_operator(std::uint32_t index)
    {
        auto& host = hosts_[index];
        auto const fails = store_fails_(index);
        if (!fails)
            host.operator_revision = operator_revision_;
        host.fallback.on_operator_read(!fails, now());
    }

    [[nodiscard]] relay_choice choose(std::uint32_t index, relay_failures& failures) const
    {
        auto const& host = hosts_[index];
        return choose_relays(heartbeats_.table(index),
                             {.host = heartbeat_fleet::host_of(index),
                              .zone = heartbeats_.zone(index),
                              .operator_change = {.revision = host.operator_revision},
                              .listing_position = host.catalog.position(),
                              .listing_age = age(index),
                              .other_zone_penalty = other_zone_penalty,
                              .failed_relays = failures.recent(now())},
                             now());
    }

    void read_from_peers(std::uint32_t index)
    {
        auto& host = hosts_[index];
        if (!host.read && age(index) > max_listing_age)
            if (auto const relay = choose(index, host.failures).listing)
                host.read = begin_read(index, *relay, read_time);
        auto const relay = choose(index, host.operator_failures).operator_update;
        host.fallback.note_operator_lag(relay.has_value(), now());
        if (!host.operator_read && relay)
            host.operator_read = begin_read(index, *relay, operator_read_time);
    }

    [[nodiscard]] pending_read begin_read(std::uint32_t index, peer_address const& relay,
                                          duration time) const
    {
        auto const fails = relays_fail_(index);
        return {.ends_at = now() + (fails ? read_timeout : time),
                .relay = index_of(relay),
                .fails = fails};
    }

    // The read that ends now and has succeeded
    [[nodiscard]] std::optional<pending_read>
    take_finished(std::optional<pending_read>& read, relay_failures& failures) const
    {
        if (!read || now() < read->ends_at)
            return std::nullopt;
        auto const ended = std::exchange(read, std::nullopt);
        if (!ended->fails)
            return ended;
        failures.add(heartbeat_fleet::address(ended->relay), now());
        return std::nullopt;
    }

    void finish_reads(std::uint32_t index)
    {
        auto& host = hosts_[index];
        if (auto const ended = take_finished(host.operator_read, host.operator_failures))
            host.operator_revision =
                std::max(host.operator_revision, hosts_[ended->relay].operator_revision);
        if (auto const ended = take_finished(host.read, host.failures))
            apply_relayed(host, hosts_[ended->relay].catalog);
    }

    static void apply_relayed(host& host, endpoint_catalog const& source)
    {
        if (!source.listed_at())
            return;
        if (source.position() == host.catalog.position())
            host.catalog.confirm_listing(*source.listed_at(), source.position(),
                                         *source.available_since());
        else
            host.catalog.apply_listing(*source.listed_at(), source.position(), {},
                                       source.available_since());
    }

    options options_;
    heartbeat_fleet heartbeats_;
    std::vector<host> hosts_;
    std::uint64_t operator_revision_ = 1;
    std::function<bool(std::uint32_t)> relays_fail_ = [](std::uint32_t) { return false; };
    std::function<bool(std::uint32_t)> store_fails_ = [](std::uint32_t) { return false; };
};

} // namespace marjorampath::test
