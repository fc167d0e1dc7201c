#include <tests/process/cut_fleet.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <set>
#include <string>

using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

std::uint32_t seed()
{
    auto const* text = std::getenv("MARJORAMPATH_SEED");
    auto const drawn = text ? static_cast<std::uint32_t>(std::stoul(text)) : 1U;
    BOOST_TEST_MESSAGE("seed " << drawn);
    return drawn;
}

// A fleet under faults of its links and nodes, and the node that holds the lease of its
// first engine
struct lease_fixture
{
    lease_fixture()
    {
        BOOST_REQUIRE(eventually([this] { return holder().has_value(); }, 20s));
        wait_for_orders(30);
    }

    ~lease_fixture()
    {
        BOOST_TEST_MESSAGE("orders " << orders() << ", refused "
                                     << fleet.count_records("\"refused\":true")
                                     << ", served " << fleet.served());
    }

    [[nodiscard]] std::optional<std::size_t> holder() const
    {
        return fleet.holder_of(0);
    }

    [[nodiscard]] std::size_t orders() const
    {
        return fleet.count_records("\"event\":\"order\"");
    }

    // Waits until the engines have received some more orders
    void wait_for_orders(std::size_t count) const
    {
        auto const wanted = orders() + count;
        BOOST_TEST(eventually([&] { return orders() >= wanted; }, 30s));
    }

    // Waits until another node than the first holder has taken over and given orders
    void wait_for_takeover(std::size_t first) const
    {
        BOOST_REQUIRE(eventually([&] { return holder() != first; }, 20s));
        wait_for_orders(15);
    }

    void check_no_engine_is_overfull() const
    {
        BOOST_TEST(fleet.count_records("\"event\":\"overfull\"") == 0U);
    }

    // Holders that take turns within this time break ONE, also with orders that the
    // engine refuses
    void check_holders_take_no_turns() const
    {
        constexpr auto order_quiet = 3'000ms;
        BOOST_TEST(fleet.shortest_turn().count() >= order_quiet.count());
    }

    cut_fleet fleet{{.seed = seed()}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lease_cuts, lease_fixture)

// Guards against a lease holder that goes on by its old view behind a cut, as the hosts
// that knew of the holder in between were all restarted (review/6)
BOOST_AUTO_TEST_CASE(a_holder_cut_off_whose_witnesses_were_restarted_overfills_no_engine)
{
    auto const first = *holder();
    fleet.cut({first});
    wait_for_takeover(first);
    fleet.restart_all_but({first});
    fleet.cut({});
    wait_for_orders(60);
    check_no_engine_is_overfull();
    check_holders_take_no_turns();
}

// As above, with two more nodes on the side of the holder
BOOST_AUTO_TEST_CASE(
    a_minority_cut_off_whose_witnesses_were_restarted_overfills_no_engine)
{
    // The sides with the majority of the witnesses differ by the nodes that are cut off
    for (std::size_t other = 0; other < 3; ++other)
    {
        auto const first = *holder();
        std::set<std::size_t> const minority{first, (first + 1 + other) % 9,
                                             (first + 4 + other) % 9};
        fleet.cut(minority);
        if (eventually([&] { return !minority.contains(*holder()); }, 8s))
            wait_for_orders(10);
        fleet.restart_all_but(minority);
        fleet.cut({});
        wait_for_orders(40);
    }
    check_no_engine_is_overfull();
    check_holders_take_no_turns();
}

// A holder that is frozen beyond its lease wakes with its old plan, and nobody knows of
// the holder in between
BOOST_AUTO_TEST_CASE(a_holder_that_was_frozen_overfills_no_engine)
{
    auto const first = *holder();
    fleet.pause_node(first, true);
    wait_for_takeover(first);
    fleet.restart_all_but({first});
    fleet.pause_node(first, false);
    wait_for_orders(60);
    check_no_engine_is_overfull();
    check_holders_take_no_turns();
}

// Guards against an order that a proxy delivers when its sender's lease is over and
// another holder has filled the place (review/1)
BOOST_AUTO_TEST_CASE(an_order_held_up_beyond_its_holders_lease_overfills_no_engine)
{
    for (std::size_t engine = 0; engine < 3; ++engine)
        fleet.link(engine).armed = true;
    BOOST_REQUIRE(eventually([this] { return fleet.link(0).holds.load(); }, 20s));
    auto const first = *holder();
    fleet.cut({first});
    wait_for_takeover(first);
    for (std::size_t engine = 0; engine < 3; ++engine)
        fleet.link(engine).released = true;
    wait_for_orders(10);
    fleet.cut({});
    wait_for_orders(20);
    check_no_engine_is_overfull();
}

// Guards against an answer that is taken for the one to another order
BOOST_AUTO_TEST_CASE(answers_to_orders_that_come_twice_overfill_no_engine)
{
    for (std::size_t engine = 0; engine < 3; ++engine)
        fleet.link(engine).repeats_answers = true;
    wait_for_orders(80);
    check_no_engine_is_overfull();
}

// Guards against an order that is taken for lost as its answer is late
BOOST_AUTO_TEST_CASE(answers_to_orders_that_come_late_overfill_no_engine)
{
    for (std::size_t engine = 0; engine < 3; ++engine)
        fleet.link(engine).answer_delay = 800ms;
    wait_for_orders(30);
    check_no_engine_is_overfull();
}

BOOST_AUTO_TEST_SUITE_END()
