#include <tests/unit/cell/cell_harness.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace marjorampath;
using marjorampath::testing::cell_harness;
using namespace std::chrono_literals;

namespace
{

// Lets loads end and time pass, as often as told
void settle(cell_harness& harness, int rounds)
{
    for (int round = 0; round < rounds; ++round)
    {
        harness.finish_orders();
        harness.release_all();
        harness.advance(1s);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_faults)

BOOST_AUTO_TEST_CASE(a_hot_shift_replaces_the_old_hot_set)
{
    cell_harness harness(low_stall_profile(), 2, 2, 8);
    for (int round = 0; round < 50; ++round)
    {
        for (int index = 0; index < 4; ++index)
            harness.ask("old-" + std::to_string(index));
        settle(harness, 1);
    }
    BOOST_TEST(harness.load_orders("old-0") == 1);
    for (int round = 0; round < 50; ++round)
    {
        for (int index = 0; index < 4; ++index)
            harness.ask("new-" + std::to_string(index));
        settle(harness, 1);
    }

    // In the end none of the new ones is loaded again and again
    std::vector<unsigned> before;
    for (int index = 0; index < 4; ++index)
        before.push_back(harness.load_orders("new-" + std::to_string(index)));
    for (int round = 0; round < 10; ++round)
    {
        for (int index = 0; index < 4; ++index)
            harness.ask("new-" + std::to_string(index));
        settle(harness, 1);
    }
    for (int index = 0; index < 4; ++index)
        BOOST_TEST(harness.load_orders("new-" + std::to_string(index)) == before[index]);
}

BOOST_AUTO_TEST_CASE(a_slow_store_never_gets_more_than_its_transit_bound)
{
    auto options = low_stall_profile();
    options.loads_per_second = 100;
    options.load_burst = 100;
    options.loads_in_transit = 3;
    cell_harness harness(options, 4, 4, 4);
    for (int index = 0; index < 12; ++index)
        harness.ask("adapter-" + std::to_string(index));

    // Nothing comes back for seconds; the harness checks the bound at each step
    harness.advance(5s);
    BOOST_TEST(harness.tested.counts().loads_in_transit == 3U);
    BOOST_TEST(harness.tested.counts().loads == 3U);
    for (int round = 0; round < 4; ++round)
        harness.finish_orders();
    BOOST_TEST(harness.tested.counts().queued == 0U);
}

BOOST_AUTO_TEST_CASE(loads_stay_within_the_rate_of_the_store)
{
    auto options = low_stall_profile();
    options.loads_per_second = 2;
    options.load_burst = 2;
    cell_harness harness(options, 8, 8, 8);
    for (int index = 0; index < 40; ++index)
        harness.ask("adapter-" + std::to_string(index), "team", 60s);
    for (int second = 1; second <= 10; ++second)
    {
        harness.finish_orders();
        harness.advance(1s);
        BOOST_TEST(harness.tested.counts().loads <= 2U + 2U * second);
        BOOST_TEST(harness.tested.counts().loads >= 2U * second);
    }
}

BOOST_AUTO_TEST_CASE(a_bad_version_fails_fast_and_is_probed_again)
{
    auto options = low_stall_profile();
    options.loads_per_second = 100;
    cell_harness harness(options, 2, 2, 4);
    harness.failing.insert(cell_harness::adapter("bad"));
    auto const first = harness.ask("bad");
    for (int round = 0; round < 20 && harness.refused(first) == nullptr; ++round)
    {
        harness.finish_orders();
        harness.advance(500ms);
    }
    BOOST_REQUIRE(harness.refused(first) != nullptr);
    BOOST_TEST((harness.refused(first)->reason == error_kind::load_failed));
    auto const orders = harness.load_orders("bad");
    BOOST_TEST(orders == options.bad_version_failures);

    // While it is known as bad, it is refused at once and nothing is loaded
    auto const second = harness.ask("bad");
    BOOST_REQUIRE(harness.refused(second) != nullptr);
    BOOST_TEST((harness.refused(second)->reason == error_kind::load_failed));
    BOOST_TEST(harness.load_orders("bad") == orders);

    // Later one load probes it, and success ends the pause
    harness.advance(options.load_backoff_limit);
    harness.failing.clear();
    auto const third = harness.ask("bad");
    BOOST_TEST(harness.load_orders("bad") == orders + 1);
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(third)));
}

BOOST_AUTO_TEST_CASE(a_storm_of_load_failures_leaves_other_adapters_their_permits)
{
    auto options = low_stall_profile();
    options.loads_per_second = 4;
    cell_harness harness(options, 4, 4, 4);
    for (int index = 0; index < 30; ++index)
    {
        auto const name = "bad-" + std::to_string(index);
        harness.failing.insert(cell_harness::adapter(name));
        harness.ask(name, "team", 60s);
    }
    auto const good = harness.ask("good", "team", 60s);
    for (int round = 0; round < 200 && !harness.granted_at(good); ++round)
    {
        harness.finish_orders();
        harness.advance(250ms);
    }
    BOOST_TEST(static_cast<bool>(harness.granted_at(good)));
}

BOOST_AUTO_TEST_CASE(all_engines_that_restart_empty_are_filled_again)
{
    auto options = low_stall_profile();
    options.loads_per_second = 10;
    cell_harness harness(options, 3, 2, 4);
    for (int index = 0; index < 6; ++index)
        harness.ask("adapter-" + std::to_string(index), "team", 60s);
    harness.finish_orders();
    harness.advance(1s);
    harness.finish_orders();
    BOOST_TEST(harness.tested.counts().granted == 6U);
    for (unsigned number = 0; number < 3; ++number)
        harness.restart(cell_harness::engine(number));
    BOOST_TEST(harness.tested.counts().granted == 0U);
    std::vector<request_id> again;
    for (int index = 0; index < 6; ++index)
        again.push_back(harness.ask("adapter-" + std::to_string(index), "team", 60s, 1));
    settle(harness, 4);
    for (auto const request : again)
        BOOST_TEST(static_cast<bool>(harness.granted_at(request)));
}

BOOST_AUTO_TEST_CASE(a_restart_during_a_load_gives_its_permit_back)
{
    auto options = low_stall_profile();
    options.loads_in_transit = 1;
    options.loads_per_second = 10;
    cell_harness harness(options, 1, 1, 4);
    auto const request = harness.ask("adapter");
    BOOST_TEST(harness.tested.counts().loads_in_transit == 1U);
    harness.restart(cell_harness::engine(0));
    harness.advance(1s);
    BOOST_TEST(harness.load_orders("adapter") == 2);
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(request)));
}

BOOST_AUTO_TEST_CASE(without_orders_only_residents_are_granted)
{
    cell_harness harness(low_stall_profile(), 1, 2, 4);
    harness.ask("resident");
    harness.finish_orders();
    harness.failing.insert(cell_harness::adapter("waits"));
    auto const waits = harness.ask("waits");
    harness.finish_orders();
    harness.tested.on_orders_allowed(false, harness.now, harness.out);
    harness.orders_allowed = false;
    harness.apply();
    BOOST_REQUIRE(harness.refused(waits) != nullptr);
    BOOST_TEST((harness.refused(waits)->reason == error_kind::no_endpoint));
    auto const missing = harness.ask("missing");
    BOOST_REQUIRE(harness.refused(missing) != nullptr);
    auto const resident = harness.ask("resident");
    BOOST_TEST(static_cast<bool>(harness.granted_at(resident)));
    harness.advance(10s);

    // With the lease back, loads go on
    harness.tested.on_orders_allowed(true, harness.now, harness.out);
    harness.orders_allowed = true;
    harness.apply();
    auto const loaded = harness.ask("missing");
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(loaded)));
}

BOOST_AUTO_TEST_CASE(a_takeover_evicts_nothing_until_all_grants_are_registered)
{
    cell_harness harness(low_stall_profile(), 0, 1, 4);
    harness.eviction_allowed = false;
    harness.tested.allow_eviction(false, harness.now, harness.out);

    // A host registers what runs before the engine has reported
    grant_registration const registration{.request = request_id(900),
                                          .entry = host_id::of("entry"),
                                          .endpoint = cell_harness::engine(0),
                                          .kind = cell_harness::kind(),
                                          .adapter = cell_harness::adapter("running"),
                                          .team = team_id::of("team")};
    harness.tested.on_grant_registered(registration, harness.now, harness.out);
    harness.report(
        {.endpoint = cell_harness::engine(0),
         .kind = cell_harness::kind(),
         .zone = zone_id::of("zone-1"),
         .boot_number = 1,
         .adapter_slots = 2,
         .concurrency = 4,
         .resident = {cell_harness::adapter("running"), cell_harness::adapter("idle")}});
    auto const request = harness.ask("cold");
    harness.advance(5s);
    BOOST_TEST(harness.tested.counts().unloads == 0U);

    // Then the idle adapter goes, and never the one that serves
    harness.eviction_allowed = true;
    harness.tested.allow_eviction(true, harness.now, harness.out);
    harness.apply();
    auto& engine = harness.endpoints.at(cell_harness::engine(0));
    BOOST_TEST(engine.unloading.contains(cell_harness::adapter("idle")));
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(request)));
    BOOST_TEST(harness.tested.is_granted(request_id(900)));
}

BOOST_AUTO_TEST_CASE(a_stale_report_does_not_undo_what_was_ordered)
{
    auto options = low_stall_profile();
    cell_harness harness(options, 1, 2, 4);
    auto const before = harness.endpoints.at(cell_harness::engine(0)).report;
    auto const first = harness.ask("adapter");
    harness.finish_orders();
    harness.release(first);

    // The report was made before the load; the adapter stays known
    harness.tested.on_endpoint(before, harness.now, harness.out);
    harness.apply();
    auto const second = harness.ask("adapter");
    BOOST_TEST(static_cast<bool>(harness.granted_at(second)));
    BOOST_TEST(harness.load_orders("adapter") == 1);
    harness.release(second);

    // A report that is new enough says that it is gone
    harness.advance(options.report_lag + 1s);
    harness.endpoints.at(cell_harness::engine(0)).report = before;
    harness.report(before);
    auto const third = harness.ask("adapter");
    BOOST_TEST(!harness.granted_at(third));
    BOOST_TEST(harness.load_orders("adapter") == 2);
}

BOOST_AUTO_TEST_CASE(a_missing_adapter_is_loaded_again)
{
    cell_harness harness(low_stall_profile(), 1, 2, 4);
    auto const first = harness.ask("adapter");
    harness.finish_orders();
    harness.endpoints.at(cell_harness::engine(0)).report.resident.clear();
    harness.release(first, release_reason::adapter_missing);
    auto const second = harness.ask("adapter", "team", 30s, 1);
    BOOST_TEST(!harness.granted_at(second));
    harness.finish_orders();
    BOOST_TEST(static_cast<bool>(harness.granted_at(second)));
}

BOOST_AUTO_TEST_CASE(one_team_that_floods_leaves_the_others_their_share)
{
    auto options = low_stall_profile();
    options.queue_bound = 200;
    cell_harness harness(options, 1, 1, 4);
    harness.ask("adapter", "flood", 1h);
    harness.finish_orders();
    for (int index = 0; index < 400; ++index)
        harness.ask("adapter", "flood", 1h);
    std::vector<request_id> quiet;
    for (int index = 0; index < 40; ++index)
        quiet.push_back(harness.ask("adapter", "quiet", 1h));
    BOOST_TEST(harness.tested.counts().queued <= options.queue_bound);

    // Of what is served from now on, each team gets its half
    for (int round = 0; round < 21; ++round)
        settle(harness, 1);
    std::size_t served = 0;
    for (auto const request : quiet)
        served += harness.granted_at(request) ? 1 : 0;
    BOOST_TEST(served >= 36U);
    for (auto const request : quiet)
        BOOST_TEST(harness.refused(request) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_retry_storm_is_cut_down_to_the_budget)
{
    auto options = low_stall_profile();
    options.retry_burst = 10;
    options.retry_ratio = 0.1;
    cell_harness harness(options, 1, 1, 4);
    harness.ask("adapter");
    harness.finish_orders();
    std::size_t refused = 0;
    for (int index = 0; index < 100; ++index)
    {
        auto const request = harness.ask("adapter", "team", 1h, 1);
        refused += harness.refused(request) != nullptr ? 1 : 0;
    }
    BOOST_TEST(refused == 90U);

    // First attempts go on, and earn a few repeated ones
    std::size_t accepted = 0;
    for (int index = 0; index < 20; ++index)
    {
        auto const request = harness.ask("adapter", "team", 1h);
        accepted += harness.refused(request) == nullptr ? 1 : 0;
    }
    BOOST_TEST(accepted == 20U);
    BOOST_TEST(harness.refused(harness.ask("adapter", "team", 1h, 1)) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_is_ejected_and_probed_again)
{
    auto options = low_stall_profile();
    cell_harness harness(options, 2, 0, 1);
    std::size_t at_bad = 0;
    auto const bad = cell_harness::engine(0);
    for (int index = 0; index < 40; ++index)
    {
        auto const request = harness.ask("");
        auto const place = harness.granted_at(request);
        BOOST_REQUIRE(static_cast<bool>(place));
        at_bad += place == bad ? 1 : 0;
        harness.release(request, place == bad ? release_reason::refused
                                              : release_reason::finished);
    }
    BOOST_TEST(at_bad <= options.ejection_failures);

    // After the pause one request probes it, and its success brings it back
    harness.advance(options.ejection_limit);
    auto const one = harness.ask("");
    auto const two = harness.ask("");
    BOOST_TEST((harness.granted_at(one) == bad || harness.granted_at(two) == bad));
}

BOOST_AUTO_TEST_CASE(a_lost_entry_host_frees_what_it_ran)
{
    cell_harness harness(low_stall_profile(), 1, 1, 1);
    auto const running = harness.ask("adapter");
    harness.finish_orders();
    auto const waiting = harness.ask("adapter");
    BOOST_TEST(harness.tested.is_granted(running));
    harness.endpoints.at(cell_harness::engine(0)).running.clear();
    harness.tested.on_entry_host_lost(host_id::of("entry"), harness.now, harness.out);
    harness.apply();
    BOOST_TEST(harness.tested.counts().granted == 0U);
    BOOST_TEST(!harness.tested.is_queued(waiting));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_is_gone_leaves_nothing_behind)
{
    cell_harness harness(low_stall_profile(), 2, 1, 4);
    auto const request = harness.ask("adapter");
    harness.finish_orders();
    auto const place = harness.granted_at(request);
    harness.tested.on_endpoint_gone(place, harness.now, harness.out);
    harness.endpoints.at(place).report.resident.clear();
    harness.apply();
    auto const again = harness.ask("adapter");
    harness.finish_orders();
    BOOST_TEST((harness.granted_at(again) != place));
    harness.release(request, release_reason::endpoint_lost);
    BOOST_TEST(harness.tested.counts().granted == 1U);

    // Without any endpoint the refusal comes at once
    harness.tested.on_endpoint_gone(harness.granted_at(again), harness.now, harness.out);
    harness.apply();
    auto const last = harness.ask("adapter");
    BOOST_REQUIRE(harness.refused(last) != nullptr);
    BOOST_TEST((harness.refused(last)->reason == error_kind::no_endpoint));
}

BOOST_AUTO_TEST_CASE(a_version_that_no_sheet_assigns_gives_way_to_the_next)
{
    cell_harness harness(low_stall_profile(), 1, 2, 8);
    auto const serve = [&](std::string const& adapter)
    {
        auto const request = harness.ask(adapter);
        harness.finish_orders();
        harness.advance(1s);
        harness.finish_orders();
        harness.release(request);
    };

    // Two versions that were asked for often hold both slots
    for (int round = 0; round < 20; ++round)
    {
        serve("a@1");
        serve("b@1");
    }
    for (auto const* retired : {"a@1", "b@1"})
    {
        harness.tested.on_adapter_retired(cell_harness::adapter(retired), harness.now,
                                          harness.out);
        harness.apply();
    }

    // The versions after them are asked for in turn and are loaded once each
    for (int round = 0; round < 4; ++round)
    {
        serve("a@2");
        serve("b@2");
    }
    BOOST_TEST(harness.load_orders("a@2") == 1);
    BOOST_TEST(harness.load_orders("b@2") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
