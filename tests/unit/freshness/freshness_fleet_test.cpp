#include <marjorampath/freshness/configuration_freshness.hpp>
#include <marjorampath/freshness/freshness_peer.hpp>
#include <tests/unit/peer/heartbeat_fleet.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

constexpr duration step = 100ms;
constexpr duration watch_wait = 1s;
constexpr duration listing_interval = 800ms;

// Hosts that confirm each other by their heartbeats' hints while some of them read a
// store, in virtual time
class confirming_fleet
{
public:
    confirming_fleet(std::uint32_t hosts, std::uint32_t zones)
        : fleet_({.hosts = hosts, .zones = zones}),
          hosts_(hosts, configuration_freshness({.revocation_bound = 5s})),
          watch_asked_at_(hosts), listed_at_(hosts)
    {
        fleet_.fill_heartbeat = [this](std::uint32_t index, peer_heartbeat& heartbeat)
        { heartbeat.configuration_age = hosts_[index].age(fleet_.now()); };
        for (std::uint32_t index = 0; index < hosts; ++index)
        {
            hosts_[index].on_configuration(1);
            index_of_[heartbeat_fleet::host_of(index)] = index;
            watch_asked_at_[index] = fleet_.now();
        }
    }

    void run(duration time)
    {
        for (auto const end = fleet_.now() + time; fleet_.now() < end;)
        {
            fleet_.run(step);
            for (std::uint32_t index = 0; index < hosts_.size(); ++index)
                if (!lost_.contains(index))
                    run_host(index);
        }
    }

    // Takes the path to the store from all hosts that read it in a zone
    void cut_readers(std::uint32_t zone, std::uint32_t zones)
    {
        for (std::uint32_t index = zone; index < hosts_.size(); index += zones)
            if (fleet_.table(index).is_reader(fleet_.now()))
                cut_.insert(index);
    }

    void lose(std::uint32_t index)
    {
        fleet_.kill(index);
        lost_.insert(index);
    }

    void reset_counts()
    {
        calls = 0;
        queries = 0;
        unconfirmed = 0;
        oldest = {};
        answered.clear();
    }

    [[nodiscard]] std::size_t most_answered() const
    {
        std::size_t most = 0;
        for (auto const& [index, count] : answered)
            most = std::max(most, count);
        return most;
    }

    // Calls to the store, queries, and steps in which a host was not confirmed
    std::size_t calls = 0;
    std::size_t queries = 0;
    std::size_t unconfirmed = 0;
    // Highest age of a proof
    duration oldest{0};
    // Queries that each host answered
    std::map<std::uint32_t, std::size_t> answered;

private:
    void run_host(std::uint32_t index)
    {
        auto const now = fleet_.now();
        auto& host = hosts_[index];
        auto const reads = fleet_.table(index).is_reader(now) || host.needs_store(now);
        if (reads && !cut_.contains(index))
            read_store(index, now);
        auto const age = host.age(now);
        oldest = std::max(oldest, age.value_or(duration{0}));
        unconfirmed += host.is_confirmed(now) ? 0U : 1U;
        auto const query = host.next_query(now);
        if (!query)
            return;
        auto const other = choose_freshness_peer(fleet_.table(index),
                                                 {.host = heartbeat_fleet::host_of(index),
                                                  .zone = fleet_.zone(index),
                                                  .age = age,
                                                  .number = query->number,
                                                  .urgent = !host.is_confirmed(now)},
                                                 now);
        if (!other || lost_.contains(index_of_.at(other)))
            return;
        ++queries;
        ++answered[index_of_.at(other)];
        host.on_reply(hosts_[index_of_.at(other)].reply_to(*query, now));
    }

    void read_store(std::uint32_t index, time_point now)
    {
        auto& host = hosts_[index];
        store_position const position{
            .era = 0,
            .revision = static_cast<std::uint64_t>(now.time_since_epoch() / step)};
        if (now - listed_at_[index] >= listing_interval)
        {
            listed_at_[index] = now;
            ++calls;
            host.on_store_position(position, now);
        }
        if (now - watch_asked_at_[index] < watch_wait)
            return;
        ++calls;
        host.on_store_asked(now);
        host.on_operator_read({.asked_at = watch_asked_at_[index],
                               .complete = position,
                               .stored_version = 1},
                              now);
        watch_asked_at_[index] = now;
    }

    heartbeat_fleet fleet_;
    std::vector<configuration_freshness> hosts_;
    std::vector<time_point> watch_asked_at_;
    std::vector<time_point> listed_at_;
    std::map<host_id, std::uint32_t> index_of_;
    std::set<std::uint32_t> cut_;
    std::set<std::uint32_t> lost_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(freshness_fleet)

// Each host that polls the store costs more than the fleet saves, and a fleet that
// confirms too slowly refuses callers in calm
BOOST_AUTO_TEST_CASE(a_calm_fleet_is_confirmed_at_few_calls)
{
    struct size
    {
        std::uint32_t hosts;
        std::uint32_t zones;
        // Hosts that read the store
        std::size_t readers;
    };
    for (auto const& each :
         {size{9, 4, 9}, size{63, 4, 8}, size{195, 4, 8}, size{340, 16, 32}})
    {
        confirming_fleet fleet(each.hosts, each.zones);
        fleet.run(4s);
        fleet.reset_counts();
        constexpr int seconds = 4;
        fleet.run(std::chrono::seconds(seconds));
        BOOST_TEST_MESSAGE(each.hosts << " hosts: " << fleet.calls / seconds
                                      << " calls and " << fleet.queries / seconds
                                      << " queries a second, busiest host "
                                      << fleet.most_answered() / seconds << ", oldest "
                                      << fleet.oldest / 1ms << " ms");
        BOOST_TEST(fleet.unconfirmed == 0U, each.hosts);
        // A watch a second and five listings in four seconds of each reader
        BOOST_TEST(fleet.calls <= each.readers * seconds * 9 / 4 + each.readers,
                   each.hosts);
        BOOST_TEST(fleet.queries <= std::size_t{each.hosts} * seconds * 2, each.hosts);
    }
}

// The hosts of a zone whose readers have lost the store, or are gone, are confirmed by
// others
BOOST_AUTO_TEST_CASE(hosts_are_confirmed_without_their_zones_readers)
{
    constexpr std::uint32_t zones = 4;
    confirming_fleet fleet(63, zones);
    fleet.run(10s);
    fleet.reset_counts();
    fleet.cut_readers(1, zones);
    fleet.run(10s);
    BOOST_TEST(fleet.unconfirmed == 0U);
    for (std::uint32_t index = 0; index < 31; ++index)
        fleet.lose(index);
    fleet.run(10s);
    BOOST_TEST(fleet.unconfirmed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
