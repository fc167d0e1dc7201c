#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/peer/relay_choice.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <optional>
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
// The store has a new revision this often while it changes
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

    // An endpoint that all hosts know
    static endpoint_announcement endpoint()
    {
        return {.id = endpoint_id::of("endpoint"), .position = {.revision = 1}};
    }

    // Stops the changes of the store, until the endpoint leaves
    void stop_changes()
    {
        last_change_ = now_;
    }

    // Removes the entry of the endpoint, which is one more change
    void remove_endpoint()
    {
        endpoint_removed_at_ = now_;
    }

    // Number of hosts that still use the endpoint
    [[nodiscard]] std::ptrdiff_t hosts_with_endpoint() const
    {
        return std::count_if(hosts_.begin(), hosts_.end(),
                             [](test_host const& host)
                             { return host.catalog.find(endpoint().id) != nullptr; });
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
                hosts_[index].catalog.apply_listing(now, {.revision = revision()},
                                                    listing(revision()));
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
            auto const read_at =
                time_point(static_cast<std::int64_t>(host.catalog.position().revision) *
                           revision_interval);
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
        auto const changed_at = std::min(last_change_, now_);
        return static_cast<std::uint64_t>(changed_at.time_since_epoch() /
                                          revision_interval) +
               (endpoint_removed_at_ ? 1 : 0);
    }

    // The listing of a revision
    [[nodiscard]] std::vector<endpoint_announcement> listing(std::uint64_t of) const
    {
        if (endpoint_removed_at_ && of == revision())
            return {};
        return {endpoint()};
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
                                       .operator_change = {.revision = 1},
                                       .listing_position = sender.catalog.position(),
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
                                           .operator_change = {.revision = 1},
                                           .listing_position = host.catalog.position(),
                                           .listing_age = age(host),
                                           .other_zone_penalty = other_zone_penalty},
                                          now_);
        if (!choice.listing || age(host) <= max_listing_age)
            return;
        auto const& relay = hosts_[choice.listing->address];
        auto const& source = relay.catalog;
        if (source.position() == host.catalog.position())
            host.catalog.confirm_listing(*source.listed_at(), source.position(),
                                         *source.available_since());
        else
            host.catalog.apply_listing(*source.listed_at(), source.position(),
                                       listing(source.position().revision),
                                       source.available_since());
    }

    std::vector<test_host> hosts_;
    time_point now_;
    time_point last_change_ = time_point::max();
    std::optional<time_point> endpoint_removed_at_;
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

// Hosts took seconds without a change for an outage of the store and kept the entries
// that vanished afterwards
BOOST_AUTO_TEST_CASE(an_endpoint_that_leaves_behind_calm_seconds_is_used_by_no_host)
{
    constexpr duration step = 10ms;
    // `drainMs` of the deployments with that many hosts
    constexpr duration limit = 3'000ms;
    test_fleet fleet;
    time_point now{1'000s};
    auto const run_until = [&](time_point end)
    {
        for (; now < end; now += step)
            fleet.run(now, step);
    };
    run_until(time_point{1'004s});
    fleet.stop_changes();
    run_until(time_point{1'012s});
    BOOST_TEST(fleet.hosts_with_endpoint() == host_count);
    fleet.remove_endpoint();
    run_until(time_point{1'012s} + limit);
    BOOST_TEST(fleet.hosts_with_endpoint() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
