#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/peer/relay_choice.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t host_count = 91;
constexpr std::uint32_t zone_count = 4;
// The timings of an entry node
constexpr duration listing_interval = 800ms;
constexpr duration relay_interval = 300ms;
constexpr duration heartbeat_interval = 500ms;
constexpr duration max_listing_age = 1'500ms;
constexpr duration other_zone_penalty = 900ms;
// The store has a new revision this often
constexpr duration revision_interval = 20ms;

host_id host_of(std::uint32_t index)
{
    return host_id::of(fmt::format("host-{}", index));
}

zone_id zone_of(std::uint32_t index)
{
    return zone_id::of(fmt::format("zone-{}", index % zone_count));
}

peer_address address_of(std::uint32_t index)
{
    return {.address = index, .port = 9};
}

// A host that reads the listing of endpoints from the store or from other hosts
struct test_host
{
    explicit test_host(std::uint32_t index)
        : table({.host = host_of(index),
                 .zone = zone_of(index),
                 .address = address_of(index)},
                {}, {})
    {
    }

    peer_table table;
    endpoint_catalog catalog{{}};
};

// Hosts without a network, whose periodic tasks are spread over their intervals
class test_fleet
{
public:
    test_fleet()
    {
        for (std::uint32_t index = 0; index < host_count; ++index)
            hosts_.emplace_back(index);
    }

    // Runs all tasks that are due in this step
    void run(time_point now, duration step)
    {
        now_ = now;
        for (std::uint32_t index = 0; index < host_count; ++index)
        {
            if (due(index * 53ms, heartbeat_interval, step))
                send_heartbeat(index);
            if (due(index * 37ms, listing_interval, step) &&
                hosts_[index].table.is_reader(now))
                hosts_[index].catalog.apply_listing(now, revision(), {});
            if (due(index * 71ms, relay_interval, step))
                read_from_peer(index);
        }
    }

    // Time since the oldest known listing was read from the store
    [[nodiscard]] duration largest_age() const
    {
        duration largest{0};
        for (auto const& host : hosts_)
        {
            auto const read_at = time_point(
                static_cast<std::int64_t>(host.catalog.revision()) * revision_interval);
            largest = std::max(largest, now_ - read_at);
        }
        return largest;
    }

private:
    [[nodiscard]] bool due(duration phase, duration interval, duration step) const
    {
        return (now_.time_since_epoch() + phase) % interval < step;
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        return static_cast<std::uint64_t>(now_.time_since_epoch() / revision_interval);
    }

    [[nodiscard]] duration age(test_host const& host) const
    {
        return now_ - host.catalog.listed_at().value_or(time_point{});
    }

    void send_heartbeat(std::uint32_t index)
    {
        auto const& sender = hosts_[index];
        peer_heartbeat const heartbeat{.host = host_of(index),
                                       .zone = zone_of(index),
                                       .incarnation = 1,
                                       .address = address_of(index),
                                       .operator_revision = 1,
                                       .listing_revision = sender.catalog.revision(),
                                       .listing_age = age(sender)};
        for (auto& host : hosts_)
            host.table.on_heartbeat(heartbeat, now_);
    }

    void read_from_peer(std::uint32_t index)
    {
        auto& host = hosts_[index];
        auto const choice = choose_relays(host.table,
                                          {.host = host_of(index),
                                           .zone = zone_of(index),
                                           .operator_revision = 1,
                                           .listing_revision = host.catalog.revision(),
                                           .other_zone_penalty = other_zone_penalty},
                                          now_);
        if (!choice.listing || age(host) <= max_listing_age)
            return;
        auto const& relay = hosts_[choice.listing->address];
        host.catalog.apply_listing(*relay.catalog.listed_at(), relay.catalog.revision(),
                                   {});
    }

    std::vector<test_host> hosts_;
    time_point now_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(relay_ages)

// A listing that passes through several hosts must not count as new at each of them: the
// last ones would use endpoints that left long ago
BOOST_AUTO_TEST_CASE(a_listing_is_at_most_two_and_a_half_seconds_old_on_all_hosts)
{
    constexpr duration step = 10ms;
    constexpr duration limit = 2'500ms;
    test_fleet fleet;
    duration largest{0};
    for (time_point now{1'000s}; now < time_point{1'015s}; now += step)
    {
        fleet.run(now, step);
        if (now > time_point{1'004s})
            largest = std::max(largest, fleet.largest_age());
    }
    BOOST_TEST(largest.count() <= limit.count());
}

BOOST_AUTO_TEST_SUITE_END()
