#include <marjorampath/dispatch/dispatcher.hpp>
#include <tests/unit/dispatch/mock_engines.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

// Load that is replayed: the bursts of a deployment of ninety hosts, which all hold the
// same reports and see only their own requests
constexpr std::uint32_t host_count = 90;
constexpr std::uint32_t engine_count = 12;
constexpr std::uint32_t prompt_tokens = 9'190;

engine_status status(std::uint32_t index, std::uint64_t waiting_tokens = 0,
                     double requests = 0)
{
    return {.endpoint = mock_engine(index),
            .started_at_ms = 1,
            .accepts_orders = true,
            .free_adapter_slots = 1,
            .waiting_tokens = waiting_tokens,
            .models = {"m"},
            .adapters = {{.name = "m/a", .requests = requests}}};
}

dispatcher make_dispatcher(std::uint32_t engines, std::uint64_t seed, time_point now)
{
    dispatcher made{zone_id::of("z"), {.seed = seed}};
    made.set_services({mock_service_definition()});
    for (std::uint32_t index = 0; index < engines; ++index)
        made.on_endpoint(mock_engine_event(index), now);
    return made;
}

call request(std::uint64_t number, time_point now)
{
    return {.id = request_id(number),
            .service = mock_service(),
            .kind = call_kind::stream,
            .model = "m",
            .adapter = "m/a",
            .prompt_tokens = prompt_tokens,
            .output_tokens = 50,
            .objective = 1s,
            .arrived = now,
            .deadline = now + 6s};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fresh_status)

BOOST_AUTO_TEST_CASE(an_old_report_is_confirmed_before_a_request_is_sent)
{
    time_point const now{1'000s};
    auto dispatch = make_dispatcher(2, 1, now);
    for (std::uint32_t index = 0; index < 2; ++index)
        dispatch.on_status(status(index), now);
    BOOST_TEST(!dispatch.decide(request(1, now), {}, now + 10ms).confirm);

    auto const old = dispatch.decide(request(2, now), {}, now + 400ms);
    BOOST_TEST(old.confirm);
    BOOST_TEST((old.act == dispatch_action::send));
    BOOST_TEST(!old.load);

    // What the lease holder tells changes the choice
    dispatch.on_status(
        status(old.endpoint == mock_engine(0) ? 0 : 1, 20 * std::uint64_t{prompt_tokens}),
        now + 400ms);
    auto const again = dispatch.decide(request(2, now), {}, now + 401ms);
    BOOST_TEST((again.endpoint != old.endpoint));
}

BOOST_AUTO_TEST_CASE(a_request_is_not_refused_by_an_old_report)
{
    // Twenty prompts waited 0.4 s ago
    time_point const now{1'000s};
    auto dispatch = make_dispatcher(1, 1, now);
    dispatch.on_status(status(0, 20 * std::uint64_t{prompt_tokens}), now);
    auto const old = dispatch.decide(request(1, now), {}, now + 400ms);
    BOOST_TEST((old.act == dispatch_action::refuse));
    BOOST_TEST(old.confirm);
    BOOST_TEST((old.endpoint == mock_engine(0)));
    dispatch.on_status(status(0), now + 400ms);
    auto const confirmed = dispatch.decide(request(1, now), {}, now + 401ms);
    BOOST_TEST((confirmed.act == dispatch_action::send));
}

BOOST_AUTO_TEST_CASE(hosts_that_confirm_spread_a_burst_evenly)
{
    // Ninety hosts get one request each within 90 ms, all with reports 0.4 s old
    time_point const reported{1'000s};
    std::vector<dispatcher> hosts;
    for (std::uint32_t host = 0; host < host_count; ++host)
    {
        hosts.push_back(make_dispatcher(engine_count, host, reported));
        for (std::uint32_t index = 0; index < engine_count; ++index)
            hosts.back().on_status(status(index), reported);
    }
    std::vector<std::uint64_t> waiting(engine_count, 0);
    auto now = reported + 400ms;
    constexpr int most_confirms = 2;
    for (std::uint32_t host = 0; host < host_count; ++host, now += 1ms)
    {
        auto const asked = request(host + 1, now);
        auto decision = hosts[host].decide(asked, {}, now);
        for (int confirms = 0; decision.confirm && confirms < most_confirms; ++confirms)
        {
            for (std::uint32_t index = 0; index < engine_count; ++index)
                if (mock_engine(index) == decision.endpoint)
                    hosts[host].on_status(status(index, waiting[index]), now);
            decision = hosts[host].decide(asked, {}, now);
        }
        for (std::uint32_t index = 0; index < engine_count; ++index)
            if (mock_engine(index) == decision.endpoint)
                waiting[index] += prompt_tokens;
    }

    // Without confirming, the same rank sends all of them to one engine
    auto const mean = std::uint64_t{host_count} * prompt_tokens / engine_count;
    BOOST_TEST(*std::max_element(waiting.begin(), waiting.end()) <= 5 * mean / 2);
}

BOOST_AUTO_TEST_CASE(reports_of_a_large_fleet_are_not_stale_between_two_beats)
{
    time_point const now{1'000s};
    auto dispatch = make_dispatcher(2, 1, now);
    dispatch.set_status_interval(1'500ms);
    auto holder_of_none = status(0);
    holder_of_none.adapters.clear();
    dispatch.on_status(holder_of_none, now);
    auto const decision = dispatch.decide(request(1, now), {}, now + 1'400ms);
    BOOST_TEST((decision.act == dispatch_action::wait));
    BOOST_TEST(decision.load.has_value());
}

BOOST_AUTO_TEST_CASE(a_popular_adapter_is_copied_at_a_shorter_queue)
{
    // One and a half prompts wait, so that streams there pause behind a newcomer
    time_point const now{1'000s};
    constexpr auto queue = 3 * std::uint64_t{prompt_tokens} / 2;
    for (auto const popular : {false, true})
    {
        auto dispatch = make_dispatcher(2, 1, now);
        dispatch.on_status(status(0, queue, popular ? 20 : 1), now);
        auto other = status(1);
        other.adapters.clear();
        dispatch.on_status(other, now);
        auto const decision = dispatch.decide(request(1, now), {}, now);
        BOOST_TEST((decision.endpoint == mock_engine(0)));
        BOOST_TEST(decision.load.has_value() == popular);
    }
}

BOOST_AUTO_TEST_SUITE_END()
