#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/dispatch/event_splitter.hpp>
#include <marjorampath/dispatch/retry_budget.hpp>
#include <tests/unit/dispatch/mock_engines.hpp>

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t engine_count = 4;

// A dispatcher with the engines of one service
struct dispatch_fixture
{
    dispatch_fixture()
    {
        dispatch.set_services({mock_service_definition()});
        for (std::uint32_t index = 0; index < engine_count; ++index)
            announce(index);
    }

    static endpoint_id engine(std::uint32_t index)
    {
        return mock_engine(index);
    }

    void announce(std::uint32_t index, endpoint_change change = endpoint_change::appeared)
    {
        dispatch.on_endpoint(mock_engine_event(index, change), now);
    }

    // Passes a lease holder's report on an engine to the dispatcher
    void report(std::uint32_t index, std::vector<adapter_status> adapters,
                std::uint32_t free_adapter_slots = 1)
    {
        dispatch.on_status({.endpoint = engine(index),
                            .started_at_ms = 1,
                            .accepts_orders = true,
                            .free_adapter_slots = free_adapter_slots,
                            .models = {"m"},
                            .adapters = std::move(adapters)},
                           now);
    }

    call request(std::string const& adapter, std::uint32_t tokens = 1'000) const
    {
        return {.id = request_id(1),
                .service = service,
                .kind = call_kind::stream,
                .model = "m",
                .adapter = adapter,
                .prompt_tokens = tokens,
                .output_tokens = 50,
                .objective = 1s,
                .arrived = now,
                .deadline = now + 6s};
    }

    service_id service = mock_service();
    time_point now{1'000s};
    dispatcher dispatch{zone_id::of("z"), {.seed = 7}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatching, dispatch_fixture)

BOOST_AUTO_TEST_CASE(a_request_goes_to_the_engine_that_holds_its_adapter)
{
    report(2, {{.name = "m/a1"}});
    auto const decision = dispatch.decide(request("m/a1"), {}, now);
    BOOST_TEST((decision.action == dispatch_action::send));
    BOOST_TEST((decision.endpoint == engine(2)));
}

BOOST_AUTO_TEST_CASE(an_adapter_that_no_engine_holds_is_requested_once)
{
    for (std::uint32_t index = 0; index < engine_count; ++index)
        report(index, {});
    auto const first = dispatch.decide(request("m/a1"), {}, now);
    BOOST_TEST((first.action == dispatch_action::wait));
    BOOST_REQUIRE(first.load);

    // A second request for the adapter waits for the same load
    auto const second = dispatch.decide(request("m/a1"), {}, now + 5ms);
    BOOST_TEST((second.action == dispatch_action::wait));
    BOOST_TEST(!second.load);

    dispatch.on_load_reply({.endpoint = first.load->endpoint,
                            .adapter = "m/a1",
                            .accepted = true,
                            .ready_in = 250ms},
                           now + 10ms);
    auto const third = dispatch.decide(request("m/a1"), {}, now + 20ms);
    BOOST_TEST((third.action == dispatch_action::wait));
    now += 300ms;
    auto const fourth = dispatch.decide(request("m/a1"), {}, now);
    BOOST_TEST((fourth.action == dispatch_action::send));
    BOOST_TEST((fourth.endpoint == first.load->endpoint));
}

// All adapter slots are in use by running streams. Streams end many times a second, so a
// short wait finds a free slot, whereas a refused caller retries later.
BOOST_AUTO_TEST_CASE(a_refused_load_is_requested_elsewhere_and_briefly_repeated)
{
    for (std::uint32_t index = 0; index < engine_count; ++index)
        report(index, {});
    auto const adapter_request = request("m/a1");
    std::set<endpoint_id> engines;
    for (std::uint32_t turn = 0; turn < engine_count; ++turn)
    {
        auto const decision = dispatch.decide(adapter_request, {}, now);
        BOOST_REQUIRE(decision.load);
        engines.insert(decision.load->endpoint);
        dispatch.on_load_reply({.endpoint = decision.load->endpoint, .adapter = "m/a1"},
                               now);
    }
    BOOST_TEST(engines.size() == engine_count);
    auto const waits = dispatch.decide(adapter_request, {}, now);
    BOOST_TEST((waits.action == dispatch_action::wait));
    BOOST_TEST(!waits.load);
    BOOST_TEST(
        dispatch.decide(adapter_request, {}, waits.recheck + 1ms).load.has_value());

    // A request that would miss its objective is refused with a retry delay
    now += 450ms;
    for (std::uint32_t index = 0; index < engine_count; ++index)
    {
        report(index, {});
        dispatch.on_load_reply({.endpoint = engine(index), .adapter = "m/a1"}, now);
    }
    auto const last = dispatch.decide(adapter_request, {}, now);
    BOOST_TEST((last.action == dispatch_action::refuse));
    BOOST_TEST((last.reason == error_kind::no_endpoint));
    BOOST_TEST((last.retry_after > 0ms));
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_until_a_lease_holder_may_give_orders)
{
    for (std::uint32_t index = 0; index < engine_count; ++index)
        dispatch.on_status({.endpoint = engine(index),
                            .started_at_ms = 1,
                            .accepts_orders = false,
                            .accepts_orders_in = 2s + index * 1s,
                            .models = {"m"}},
                           now);
    auto const decision = dispatch.decide(request("m/a1"), {}, now);
    BOOST_TEST((decision.action == dispatch_action::refuse));

    // Jitter spreads the delay from 0.5 to 1.5 times the time to the first order and load
    auto const expected = 2s + dispatch_options{}.adapter_load_time;
    BOOST_TEST((decision.retry_after >= expected / 2));
    BOOST_TEST((decision.retry_after <= expected + expected / 2));
}

// A slow weight store makes all expected times long. Requesting another replica at each
// decision would load the adapter everywhere and slow the store down further.
BOOST_AUTO_TEST_CASE(no_further_replica_is_requested_during_a_load)
{
    for (std::uint32_t index = 0; index < engine_count; ++index)
        report(index, {});
    report(0, {{.name = "m/a1", .ready_in = 1'500ms}});
    for (int attempt = 0; attempt < 50; ++attempt)
    {
        auto const decision = dispatch.decide(request("m/a1"), {}, now);
        BOOST_TEST(!decision.load);
        now += 10ms;
    }
}

BOOST_AUTO_TEST_CASE(a_second_replica_is_requested_at_a_long_queue)
{
    for (std::uint32_t index = 0; index < engine_count; ++index)
        report(index, {});
    report(0, {{.name = "m/a1"}});
    auto const heavy = request("m/a1", 9'000);
    bool replica_requested = false;
    for (int sent = 0; sent < 5 && !replica_requested; ++sent)
    {
        auto const decision = dispatch.decide(heavy, {}, now);
        BOOST_TEST((decision.action == dispatch_action::send));
        dispatch.on_sent(heavy, decision.endpoint, now);
        replica_requested = decision.load.has_value();
    }
    BOOST_TEST(replica_requested);
}

BOOST_AUTO_TEST_CASE(a_request_that_would_wait_several_times_its_objective_is_refused)
{
    report(0, {{.name = "m/a1"}});
    auto const heavy = request("m/a1", 30'000);
    dispatch_decision decision;
    int sent = 0;
    for (; sent < 20; ++sent)
    {
        decision = dispatch.decide(heavy, {}, now);
        if (decision.action != dispatch_action::send)
            break;
        dispatch.on_sent(heavy, decision.endpoint, now);
    }
    BOOST_TEST(sent < 20);
    BOOST_TEST((decision.action == dispatch_action::refuse));
    BOOST_TEST((decision.reason == error_kind::deadline_unreachable));
}

BOOST_AUTO_TEST_CASE(an_adapter_missing_answer_overrides_older_reports)
{
    report(0, {{.name = "m/a1"}});
    report(1, {{.name = "m/a1"}});
    auto const adapter_request = request("m/a1");
    auto const first = dispatch.decide(adapter_request, {}, now);
    dispatch.on_sent(adapter_request, first.endpoint, now);
    dispatch.on_ended(adapter_request, first.endpoint, attempt_end::adapter_missing,
                      false, now);
    auto const second = dispatch.decide(adapter_request, {}, now + 1ms);
    BOOST_TEST((second.action == dispatch_action::send));
    BOOST_TEST((second.endpoint != first.endpoint));
}

BOOST_AUTO_TEST_CASE(a_late_load_is_retried_with_growing_pauses)
{
    report(0, {});
    auto const adapter_request = request("m/a1");
    dispatch.on_load_reply(
        {.endpoint = engine(0), .adapter = "m/a1", .accepted = true, .ready_in = 250ms},
        now);
    std::vector<duration> pauses;
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        auto const begin = now;
        auto decision = dispatch.decide(adapter_request, {}, now);
        while (decision.action == dispatch_action::wait)
        {
            now = std::max(decision.recheck, now + 1ms);
            decision = dispatch.decide(adapter_request, {}, now);
        }
        BOOST_REQUIRE((decision.action == dispatch_action::send));
        pauses.push_back(now - begin);
        dispatch.on_sent(adapter_request, decision.endpoint, now);
        dispatch.on_ended(adapter_request, decision.endpoint, attempt_end::refused, false,
                          now);
    }
    BOOST_TEST((pauses[1] < pauses[2]));
}

BOOST_AUTO_TEST_CASE(an_unreachable_endpoint_is_ejected_for_a_while)
{
    report(0, {{.name = "m/a1"}});
    auto const adapter_request = request("m/a1");
    dispatch.on_sent(adapter_request, engine(0), now);
    dispatch.on_ended(adapter_request, engine(0), attempt_end::unreachable, false, now);
    BOOST_TEST(dispatch.usable_endpoints(service, now) == engine_count - 1);
    BOOST_TEST(dispatch.usable_endpoints(service, now + 5s) == engine_count);
}

// An unresponsive engine accepts requests and passes its health check, but never answers.
BOOST_AUTO_TEST_CASE(an_unresponsive_engine_is_avoided_before_any_request_fails)
{
    report(0, {{.name = "m/a1"}});
    auto const unanswered = request("m/a1");
    dispatch.on_sent(unanswered, engine(0), now);
    now += 2'300ms;
    report(0, {{.name = "m/a1"}});
    report(1, {{.name = "m/a1"}});
    auto other = request("m/a1");
    other.id = request_id(2);
    for (int sent = 0; sent < 5; ++sent)
        BOOST_TEST((dispatch.decide(other, {}, now).endpoint == engine(1)));

    // Its first event removes the penalty
    dispatch.on_first_event(unanswered, engine(0));
    dispatch.on_ended(unanswered, engine(0), attempt_end::finished, true, now);
    dispatch.on_sent(other, engine(1), now);
    BOOST_TEST((dispatch.decide(request("m/a1"), {}, now).endpoint == engine(0)));
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_no_requests)
{
    report(0, {{.name = "m/a1"}});
    dispatch.on_endpoint({.change = endpoint_change::draining,
                          .endpoint = {.id = engine(0),
                                       .name = "engine-0",
                                       .started_at_ms = 1,
                                       .service = service,
                                       .draining = true,
                                       .models = {"m"}}},
                         now);
    BOOST_TEST((dispatch.decide(request("m/a1"), {}, now).endpoint != engine(0)));
}

BOOST_AUTO_TEST_CASE(an_old_version_is_not_used_once_a_newer_one_is_announced)
{
    report(0, {{.name = "m/a1", .version = 1}});
    dispatch.on_version("m/a1", 2);
    auto const decision = dispatch.decide(request("m/a1"), {}, now);
    BOOST_TEST((decision.action != dispatch_action::send));
}

BOOST_AUTO_TEST_CASE(counts_return_to_zero_after_any_sequence_of_ends)
{
    constexpr std::uint32_t seed = 20261204;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    report(0, {{.name = "m/a1"}});
    auto const adapter_request = request("m/a1");
    for (int turn = 0; turn < 2'000; ++turn)
    {
        auto const end = static_cast<attempt_end>(random() % 10);
        auto const begun = random() % 2 == 0;
        dispatch.on_sent(adapter_request, engine(0), now);
        if (begun)
            dispatch.on_first_event(adapter_request, engine(0));
        dispatch.on_ended(adapter_request, engine(0), end, begun, now);
        now += 10ms;
    }
    auto const* load = dispatch.find(engine(0));
    BOOST_TEST(load->in_flight == 0u);
    BOOST_TEST(load->waiting_tokens == 0u);
    BOOST_TEST(load->tokens == 0u);
}

BOOST_AUTO_TEST_CASE(all_hosts_together_stay_within_the_retry_budget)
{
    constexpr std::size_t hosts = 6;
    constexpr double ratio = 0.2;
    constexpr double extra = 52;
    std::vector<retry_budget> budgets(
        hosts,
        retry_budget({.ratio = ratio, .window = 10s, .extra_repeats_per_window = extra},
                     time_point{}));

    // Each request fails and needs three repeats, on hosts of very uneven load
    int requests = 0;
    int repeats = 0;
    for (int step = 0; step < 1'000; ++step)
    {
        auto& budget = budgets[static_cast<std::size_t>(step % 10 == 0 ? step % 6 : 0)];
        budget.on_request(now);
        ++requests;
        for (int again = 0; again < 3; ++again)
            repeats += budget.take(now, hosts) ? 1 : 0;
        now += 9ms;
    }
    BOOST_TEST(repeats <= ratio * requests + extra);
    BOOST_TEST(repeats > ratio * requests / 2);
}

// Each new process knew no other host and used the extra repeats of the whole fleet
BOOST_AUTO_TEST_CASE(hosts_that_restart_in_turn_stay_within_the_retry_budget)
{
    constexpr std::size_t hosts = 58;
    constexpr double extra = 156;
    retry_budget_options const options{
        .ratio = 0.2, .window = 10s, .extra_repeats_per_window = extra};
    std::vector<retry_budget> budgets(hosts, retry_budget(options, time_point{}));
    std::vector<time_point> started(hosts);

    // A host restarts each 400 ms and learns of the others within 1.5 s; everything that
    // is sent is refused
    int requests = 0;
    int repeats = 0;
    for (int step = 0; step < 1'000; ++step, now += 10ms)
    {
        if (step % 40 == 0)
        {
            auto const host = static_cast<std::size_t>(step / 40);
            started[host] = now;
            budgets[host] = retry_budget(options, now);
        }
        for (int each = 0; each < 5; ++each)
        {
            auto const host = static_cast<std::size_t>(step * 5 + each) % hosts;
            auto const known = now - started[host] < 1'500ms ? 1 : hosts;
            budgets[host].on_request(now);
            ++requests;
            for (int again = 0; again < 3; ++again)
                repeats += budgets[host].take(now, known) ? 1 : 0;
        }
    }
    BOOST_TEST(repeats <= 0.2 * requests + extra);
}

BOOST_AUTO_TEST_CASE(each_complete_event_is_output_once)
{
    event_splitter events({});
    std::string output;
    BOOST_TEST(events.push("id: 1\ndata: a\n\nid: 2\nda", output));
    BOOST_TEST(output == "id: 1\ndata: a\n\n");
    BOOST_TEST(events.in_event());

    // Another endpoint continues the stream and repeats an event
    events.restart();
    output.clear();
    BOOST_TEST(events.push("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", output));
    BOOST_TEST(output == "id: 2\ndata: b\n\n");
    BOOST_TEST(events.last_id().value() == 2u);
    BOOST_TEST(events.event_count() == 2u);
}

BOOST_AUTO_TEST_CASE(the_size_of_an_unterminated_event_is_limited)
{
    event_splitter events({.max_event_bytes = 100});
    std::string output;
    BOOST_TEST(!events.push(std::string(101, 'x'), output));
}

BOOST_AUTO_TEST_SUITE_END()
