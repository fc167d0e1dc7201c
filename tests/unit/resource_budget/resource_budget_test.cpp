#include <marjorampath/resource_budget/resource_budget.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <random>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

constexpr auto callers = connection_class::callers;
constexpr auto hosts = connection_class::hosts;

// Room for eight connections of a class and 1,000 bytes
resource_budget_options small_options()
{
    return {.limits = {.message_bytes = 1'000,
                       .host_message_bytes = 500,
                       .connection_message_bytes = 600,
                       .connections = {8, 4, 8, 4}},
            .min_rate = 1'000,
            .max_wait = 1s};
}

constexpr time_point start{100s};

bool has(std::vector<budget_notice> const& notices, connection_number connection,
         budget_event event)
{
    return std::any_of(notices.begin(), notices.end(),
                       [&](budget_notice const& each)
                       { return each.connection == connection && each.event == event; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(resource_budgets)

// Callers that sent nothing kept all places, and everyone else was shut out
BOOST_AUTO_TEST_CASE(the_connection_that_is_idle_for_longest_makes_room)
{
    resource_budget budget(small_options());
    std::vector<connection_number> opened;
    for (int count = 0; count < 7; ++count)
        opened.push_back(budget.open(callers, start + count * 1s).connection);
    budget.on_idle(opened[0], start + 20s);
    auto const added = budget.open(callers, start + 21s);
    BOOST_TEST((added.decision == admission::admitted));
    BOOST_TEST(added.evicted.value().connection == opened[1]);
    BOOST_TEST((added.evicted.value().event == budget_event::evicted_idle));
    budget.close(opened[1]);
    BOOST_TEST(budget.connections(callers) == 7U);
}

// A request whose endpoint is at work does not yield; what comes beyond the places is
// refused and not left without an answer
BOOST_AUTO_TEST_CASE(requests_at_work_do_not_make_room)
{
    resource_budget budget(small_options());
    for (int count = 0; count < 7; ++count)
        budget.on_working(budget.open(callers, start).connection, start);
    auto const refused = budget.open(callers, start + 1s);
    BOOST_TEST((refused.decision == admission::refuse_only));
    BOOST_TEST(!refused.evicted.has_value());
    auto const next = budget.open(callers, start + 2s);
    BOOST_TEST((next.decision == admission::refuse_only));
    BOOST_TEST(next.evicted.value().connection == refused.connection);
    budget.on_working(next.connection, start + 2s);
    BOOST_TEST((budget.open(callers, start + 3s).decision == admission::rejected));
    BOOST_TEST((budget.open(hosts, start + 3s).decision == admission::admitted));
}

BOOST_AUTO_TEST_CASE(a_stalled_sender_makes_room_and_one_that_makes_progress_does_not)
{
    resource_budget budget(small_options());
    auto const stalled = budget.open(callers, start).connection;
    auto const active = budget.open(callers, start).connection;
    auto const small = budget.open(callers, start).connection;
    for (auto const each : {stalled, active, small})
        budget.on_receiving(each, start);
    BOOST_TEST((budget.reserve(stalled, 500, start) == reservation::made));
    BOOST_TEST((budget.reserve(active, 500, start) == reservation::made));
    BOOST_TEST((budget.reserve(small, 100, start) == reservation::waiting));
    BOOST_TEST(budget.settle(start + 500ms).empty());
    budget.on_progress(active, 500, start + 900ms);
    auto const notices = budget.settle(start + 1s);
    BOOST_TEST(notices.size() == 1U);
    BOOST_TEST(has(notices, stalled, budget_event::evicted_stalled));
    BOOST_TEST(budget.settle(start + 1s).empty());
    budget.close(stalled);
    BOOST_TEST(has(budget.settle(start + 1s), small, budget_event::granted));
    BOOST_TEST(budget.reserved_bytes() == 600U);
}

// Requests that each hold a part of the bytes and wait for more would wait for ever
BOOST_AUTO_TEST_CASE(the_youngest_of_those_that_wait_for_each_other_is_refused)
{
    resource_budget budget(small_options());
    std::vector<connection_number> opened;
    for (int count = 0; count < 4; ++count)
    {
        opened.push_back(budget.open(callers, start).connection);
        budget.on_receiving(opened.back(), start + count * 1ms);
        BOOST_TEST((budget.reserve(opened.back(), 250, start) == reservation::made));
    }
    for (auto const each : opened)
        BOOST_TEST((budget.reserve(each, 250, start) == reservation::waiting));
    BOOST_TEST(budget.settle(start + 500ms).empty());
    auto const notices = budget.settle(start + 1s);
    BOOST_TEST(notices.size() == 1U);
    BOOST_TEST(has(notices, opened[3], budget_event::refused));
    budget.on_idle(opened[3], start + 1s);
    BOOST_TEST(has(budget.settle(start + 1s), opened[0], budget_event::granted));
}

BOOST_AUTO_TEST_CASE(no_connection_and_no_class_takes_more_than_its_part)
{
    resource_budget budget(small_options());
    auto const caller = budget.open(callers, start).connection;
    BOOST_TEST((budget.reserve(caller, 601, start) == reservation::too_large));
    auto const first = budget.open(hosts, start).connection;
    auto const second = budget.open(hosts, start).connection;
    BOOST_TEST((budget.reserve(first, 501, start) == reservation::too_large));
    BOOST_TEST((budget.reserve(first, 500, start) == reservation::made));
    BOOST_TEST((budget.reserve(second, 100, start) == reservation::waiting));

    // Callers have bytes left, and do not wait behind other hosts
    budget.on_working(caller, start + 1ms);
    BOOST_TEST((budget.reserve(caller, 500, start + 1ms) == reservation::waiting));
    BOOST_TEST(has(budget.settle(start + 1ms), caller, budget_event::granted));
}

// Virtual time, and clients that send, stall, read and leave at random
BOOST_AUTO_TEST_CASE(model_of_10000_seeds)
{
    constexpr unsigned seeds = 10'000;
    constexpr int steps = 120;
    constexpr duration step = 50ms;
    struct client
    {
        std::size_t reserved = 0;
        std::size_t wanted = 0;
        time_point waiting_since;
        bool working = false;
        // Whether its request was told to end
        bool ended = false;
    };
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        std::minstd_rand random(seed);
        auto const draw = [&](std::size_t below) { return random() % below; };
        auto const options = small_options();
        resource_budget budget(options);
        std::map<connection_number, client> clients;
        auto now = start;
        auto failed = false;
        auto const require = [&](bool holds, char const* what)
        {
            if (!holds && !failed)
                BOOST_ERROR("seed " << seed << ": " << what);
            failed = failed || !holds;
        };
        auto const apply = [&](budget_notice const& notice)
        {
            auto const found = clients.find(notice.connection);
            require(found != clients.end(), "a notice to a closed connection");
            if (found == clients.end())
                return;
            auto& each = found->second;
            if (notice.event == budget_event::granted)
            {
                require(each.wanted > 0, "granted without a wait");
                each.reserved += std::exchange(each.wanted, 0);
                return;
            }
            require(notice.event == budget_event::refused || !each.working,
                    "a request at work was evicted");
            require(notice.event != budget_event::refused ||
                        now - each.waiting_since >= options.max_wait,
                    "refused too early");
            if (draw(2) == 0 && notice.event == budget_event::refused)
            {
                budget.on_idle(found->first, now);
                each = {};
                return;
            }
            budget.close(found->first);
            clients.erase(found);
        };
        for (int count = 0; count < steps && !failed; ++count)
        {
            now += step;
            if (draw(2) == 0)
            {
                auto const of = draw(3) == 0 ? hosts : callers;
                auto const opened = budget.open(of, now);
                if (opened.evicted)
                    apply(*opened.evicted);
                if (opened.decision != admission::rejected)
                    clients.emplace(opened.connection, client{});
            }
            std::vector<connection_number> numbers;
            for (auto const& [number, each] : clients)
                numbers.push_back(number);
            for (auto const number : numbers)
            {
                auto& each = clients.at(number);
                if (each.wanted > 0)
                    continue;
                switch (draw(8))
                {
                case 0:
                    budget.on_receiving(number, now);
                    each.working = false;
                    break;
                case 1:
                    budget.on_working(number, now);
                    each.working = true;
                    break;
                case 2:
                    budget.on_sending(number, draw(2) == 0, now);
                    each.working = false;
                    break;
                case 3:
                    budget.on_idle(number, now);
                    each = {};
                    break;
                case 4:
                    budget.close(number);
                    clients.erase(number);
                    break;
                case 5:
                {
                    auto const bytes = 1 + draw(300);
                    auto const answer = budget.reserve(number, bytes, now);
                    if (answer == reservation::made)
                        each.reserved += bytes;
                    if (answer == reservation::waiting)
                    {
                        each.wanted = bytes;
                        each.waiting_since = now;
                    }
                    break;
                }
                default:
                    budget.on_progress(number, draw(200), now);
                }
            }
            for (auto const& notice : budget.settle(now))
                apply(notice);

            std::size_t sum = 0;
            for (auto const& [number, each] : clients)
            {
                sum += each.reserved;
                require(each.wanted == 0 ||
                            now - each.waiting_since <= options.max_wait + 20 * step,
                        "a reservation waited for too long");
            }
            require(sum == budget.reserved_bytes(), "bytes without a holder");
            require(sum <= options.limits.message_bytes, "more than all bytes");
            require(budget.connections(callers) <= 8 && budget.connections(hosts) <= 4,
                    "more connections than places");
        }
        for (auto const& [number, each] : clients)
            budget.close(number);
        require(budget.reserved_bytes() == 0 && budget.connections(callers) == 0 &&
                    budget.connections(hosts) == 0 && !budget.has_waiting(),
                "something is left");
        BOOST_TEST_REQUIRE(!failed);
    }
}

// Every machine of the supported sizes keeps room for messages within the limits
BOOST_AUTO_TEST_CASE(a_machine_is_divided)
{
    constexpr std::size_t mebibyte = 1'048'576;
    for (auto const& machine : {machine_resources{64 * mebibyte, 1'024},
                                machine_resources{120 * mebibyte, 3'075},
                                machine_resources{160 * mebibyte, 4'100},
                                machine_resources{512 * mebibyte, 10'250},
                                machine_resources{64 * mebibyte, 64}})
    {
        auto const limits = divide_resources(machine);
        std::size_t connections = 0;
        for (auto const each : limits.connections)
            connections += each;
        BOOST_TEST(connections < machine.descriptors);
        BOOST_TEST(limits.message_bytes + limits.connections_of(callers) * 32'768 <=
                   machine.memory_bytes / 8 * 5);
        BOOST_TEST(limits.connection_message_bytes >= 2 * 4'194'304U);
        BOOST_TEST(limits.connections_of(connection_class::endpoints) >=
                   limits.connections_of(callers));
    }
}

BOOST_AUTO_TEST_SUITE_END()
