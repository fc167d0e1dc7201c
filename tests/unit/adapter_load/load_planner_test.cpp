#include <marjorampath/adapter_load/load_planner.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <deque>
#include <map>
#include <random>
#include <set>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t places = 8;

auto const engine_name = std::string("engine");

// An engine as the platform describes it: reports lag, loads take time, too many crash it
class fake_engine
{
public:
    // Carries an order out
    order_result take(planned_order const& order, time_point now)
    {
        settle(now);
        if (order.kind == order_kind::unload_adapter)
        {
            held_.erase(order.adapter);
            remember(now);
            return order_result::holds;
        }
        if (held_.contains(order.adapter) || coming_.contains(order.adapter))
            return order_result::holds;
        coming_[order.adapter] = now + 255ms;
        overfilled |= held_.size() + coming_.size() > places;
        remember(now);
        return order_result::accepted;
    }

    // What it reports: the state of up to 300 ms ago
    engine_report report(time_point now, duration lag)
    {
        settle(now);
        engine_report found{.endpoint = endpoint_id::of(engine_name), .started_at_ms = 1};
        found.models = {"m"};
        for (auto const& state : history_)
        {
            if (state.at > now - lag)
                break;
            found.adapters = state.adapters;
            found.coming = state.coming;
        }
        return found;
    }

    [[nodiscard]] bool holds(std::string const& adapter) const
    {
        return held_.contains(adapter);
    }

    bool overfilled = false;

private:
    struct state
    {
        time_point at;
        std::vector<versioned_adapter> adapters;
        std::vector<versioned_adapter> coming;
    };

    // Ends loads whose time is over
    void settle(time_point now)
    {
        for (auto entry = coming_.begin(); entry != coming_.end();)
        {
            if (entry->second > now)
            {
                ++entry;
                continue;
            }
            held_.insert(entry->first);
            entry = coming_.erase(entry);
        }
        remember(now);
    }

    void remember(time_point now)
    {
        state seen{.at = now, .adapters = {}, .coming = {}};
        for (auto const& name : held_)
            seen.adapters.push_back({.name = name, .version = 1});
        for (auto const& [name, ready] : coming_)
            seen.coming.push_back({.name = name, .version = 1});
        history_.push_back(std::move(seen));
        if (history_.size() > 500)
            history_.pop_front();
    }

    std::set<std::string> held_;
    std::map<std::string, time_point> coming_;
    std::deque<state> history_;
};

struct planner_fixture
{
    planner_fixture()
    {
        planner.set_services({{.id = service_id::of("models"),
                               .engine = engine_definition{.slots = 64,
                                                           .cache_tokens = 232'000,
                                                           .adapter_slots = places,
                                                           .models = {{.name = "m"}}}}});
        planner.on_endpoint({.change = endpoint_change::appeared, .endpoint = announced},
                            now);
    }

    // Takes the lease and waits until orders may be given
    void take_lease()
    {
        planner.on_lease(announced.id, 5, false, now);
        now += 3'200ms;
        planner.on_report(engine.report(now, 0ms), now, now);
    }

    bool ask(std::string const& adapter)
    {
        return planner
            .on_load_request({.endpoint = announced.id, .adapter = adapter}, now)
            .accepted;
    }

    // Carries out what is planned
    void carry_out()
    {
        for (auto orders = planner.next_orders(now); !orders.empty();
             orders = planner.next_orders(now))
            for (auto const& order : orders)
                planner.on_order_done(order, engine.take(order, now), now);
    }

    endpoint_announcement announced{.id = endpoint_id::of(engine_name),
                                    .name = engine_name,
                                    .started_at_ms = 1,
                                    .service = service_id::of("models"),
                                    .models = {"m"}};
    time_point now{1'000s};
    load_planner planner{{}};
    fake_engine engine;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_planning, planner_fixture)

BOOST_AUTO_TEST_CASE(no_order_is_given_before_the_quiet_time_is_over)
{
    planner.on_lease(announced.id, 5, false, now);
    planner.on_report(engine.report(now, 0ms), now, now);
    BOOST_TEST(!ask("m/a1"));
    now += 3'000ms;
    planner.on_report(engine.report(now, 0ms), now, now);
    BOOST_TEST(!ask("m/a1"));
    now += 150ms;
    BOOST_TEST(ask("m/a1"));
    BOOST_TEST(planner.next_orders(now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_lease_that_nobody_else_held_needs_no_quiet_time)
{
    take_lease();
    planner.on_lease_lost(announced.id);
    BOOST_TEST(!ask("m/a1"));
    planner.on_lease(announced.id, 6, true, now);
    BOOST_TEST(ask("m/a1"));
}

BOOST_AUTO_TEST_CASE(an_empty_engine_gets_a_model_first)
{
    take_lease();
    auto report = engine.report(now, 0ms);
    report.models.clear();
    planner.on_report(report, now, now);
    auto const orders = planner.next_orders(now);
    BOOST_REQUIRE(orders.size() == 1u);
    BOOST_TEST((orders[0].kind == order_kind::load_model));
    BOOST_TEST(orders[0].model == "m");
    BOOST_TEST(!ask("m/a1"));

    // It is busy, so it is not ordered again
    planner.on_order_done(orders[0], order_result::accepted, now);
    BOOST_TEST(planner.next_orders(now + 100ms).empty());
}

BOOST_AUTO_TEST_CASE(the_least_used_adapter_makes_way_and_one_in_use_never_does)
{
    take_lease();
    auto const host = host_id::of("h");
    for (std::uint32_t index = 0; index < places; ++index)
    {
        BOOST_TEST(ask(fmt::format("m/a{}", index)));
        carry_out();
        now += 300ms;
    }
    now += 1s;

    // a0 runs, a1 is rarely used, the others often
    endpoint_usage usage{.endpoint = announced.id};
    usage.adapters.push_back({.name = "m/a0", .in_flight = 1, .sent = 1});
    for (std::uint32_t index = 1; index < places; ++index)
        usage.adapters.push_back(
            {.name = fmt::format("m/a{}", index), .sent = index == 1 ? 2U : 20U});
    planner.on_usage(host, usage, now);
    BOOST_TEST(ask("m/new"));
    carry_out();
    BOOST_TEST(!engine.holds("m/a1"));
    BOOST_TEST(engine.holds("m/a0"));
    BOOST_TEST(!engine.overfilled);
}

BOOST_AUTO_TEST_CASE(an_adapter_that_has_just_arrived_stays)
{
    take_lease();
    for (std::uint32_t index = 0; index < places; ++index)
    {
        ask(fmt::format("m/a{}", index));
        carry_out();
        now += 80ms;
    }
    auto const reply =
        planner.on_load_request({.endpoint = announced.id, .adapter = "m/new"}, now);
    BOOST_TEST((reply.refusal == load_refusal::no_free_slot));
}

BOOST_AUTO_TEST_CASE(a_newer_version_is_loaded_over_an_older_one)
{
    take_lease();
    ask("m/a1");
    carry_out();
    now += 2s;
    planner.on_report(engine.report(now, 0ms), now, now);
    planner.on_version("m/a1", 2);
    auto const orders = planner.next_orders(now);
    BOOST_REQUIRE(orders.size() == 1u);
    BOOST_TEST((orders[0].kind == order_kind::load_adapter));
    BOOST_TEST(orders[0].version == 2u);
}

// The load pattern: cold adapters all the time, on an engine whose reports lag and some
// of whose answers are lost. An engine that is ordered to hold more than fits crashes.
BOOST_AUTO_TEST_CASE(an_engine_is_never_overfilled_whatever_is_lost)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed)
    {
        planner_fixture world;
        std::mt19937 random(seed);
        world.take_lease();
        for (int step = 0; step < 1'500; ++step)
        {
            world.now += std::chrono::milliseconds(1 + random() % 40);
            world.ask(fmt::format("m/a{}", random() % 60));
            for (auto const& order : world.planner.next_orders(world.now))
            {
                // Some answers are lost, some orders never arrive
                auto const luck = random() % 20;
                auto result = order_result::unknown;
                if (luck != 0)
                    result = world.engine.take(order, world.now);
                if (luck == 1)
                    result = order_result::unknown;
                if (luck == 2)
                    world.planner.on_lease(world.announced.id, 6, true, world.now);
                world.planner.on_order_done(order, result, world.now);
            }
            if (random() % 8 == 0)
                world.planner.on_report(
                    world.engine.report(world.now,
                                        std::chrono::milliseconds(random() % 300)),
                    world.now, world.now);
        }
        BOOST_TEST(!world.engine.overfilled, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(loads_of_a_large_deployment_are_not_expected_to_be_slow)
{
    // Thirty adapters on their way over ninety engines take no longer than one; over one
    // engine they do
    planner_fixture small;
    small.take_lease();
    small.planner.set_remote_loads(30);
    auto const slow = small.planner.on_load_request(
        {.endpoint = small.announced.id, .adapter = "m/a1"}, small.now);
    BOOST_TEST((slow.ready_in > 900ms));

    planner_fixture large;
    for (int index = 1; index < 90; ++index)
    {
        auto other = large.announced;
        other.name = fmt::format("engine-{}", index);
        other.id = endpoint_id::of(other.name);
        large.planner.on_endpoint(
            {.change = endpoint_change::appeared, .endpoint = other}, large.now);
    }
    large.take_lease();
    large.planner.set_remote_loads(30);
    auto const quick = large.planner.on_load_request(
        {.endpoint = large.announced.id, .adapter = "m/a1"}, large.now);
    BOOST_TEST((quick.ready_in < 320ms));
}

BOOST_AUTO_TEST_CASE(one_status_tells_what_hosts_reported_last)
{
    planner_fixture fixture;
    auto& planner = fixture.planner;
    BOOST_TEST(!planner.status_of(fixture.announced.id, fixture.now).has_value());
    fixture.take_lease();
    planner.on_usage(host_id::of("x"),
                     {.endpoint = fixture.announced.id,
                      .in_flight = 2,
                      .waiting_tokens = 900,
                      .tokens = 1'000},
                     fixture.now);
    planner.on_usage(
        host_id::of("x"),
        {.endpoint = fixture.announced.id, .in_flight = 1, .waiting_tokens = 300},
        fixture.now);
    auto const status = planner.status_of(fixture.announced.id, fixture.now);
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(status->in_flight == 1U);
    BOOST_TEST(status->waiting_tokens == 300U);
}

BOOST_AUTO_TEST_SUITE_END()
