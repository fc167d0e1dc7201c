#include <tests/process/process_fleet.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <memory>
#include <vector>

using namespace marjorampath::test;

namespace
{

// The node that owns the cell, as the nodes' logs tell
std::size_t find_owner(process_fleet& fleet, std::size_t nodes)
{
    std::size_t owner = nodes;
    BOOST_REQUIRE(eventually(
        [&]
        {
            for (std::size_t index = 0; index < nodes; ++index)
                if (fleet.node_log(index).find("lease_gained") != std::string::npos)
                    owner = index;
            return owner < nodes;
        }));
    return owner;
}

// Asks a node until it answers whole; the time that it took
std::chrono::milliseconds time_to_answer(process_fleet& fleet, std::size_t node,
                                         std::string const& prompt)
{
    auto const start = std::chrono::steady_clock::now();
    BOOST_TEST(eventually(
        [&]
        {
            auto const answer = fleet.complete("lot-2", prompt, 3, false, node);
            return answer.text() == expected_text("lot-2@v1", prompt, 3);
        }));
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleets)

BOOST_AUTO_TEST_CASE(every_entry_host_reaches_the_owner_and_its_death_is_survived)
{
    process_fleet fleet({.nodes = 3, .engines = 2, .joined = true});
    auto const owner = find_owner(fleet, 3);
    for (std::size_t node = 0; node < 3; ++node)
        BOOST_TEST(fleet.complete("lot-1", "hello", 5, false, node).text() ==
                   expected_text("lot-1@v1", "hello", 5));

    // A stream of another host runs on while the owner dies
    auto const other = (owner + 1) % 3;
    auto stream =
        std::async(std::launch::async,
                   [&] { return fleet.complete("lot-1", "long", 400, true, other); });
    auto const runs = [&](std::size_t engine)
    {
        auto const load = call(fleet.engine(engine).address(), "GET", "/load");
        return load.body.find("\"running\":1") != std::string::npos;
    };
    BOOST_TEST(eventually([&] { return runs(0) || runs(1); }));
    fleet.node(owner).signal(SIGKILL);
    auto const taken = time_to_answer(fleet, other, "after the owner");
    BOOST_TEST_MESSAGE("first answer " << taken.count() << " ms after the owner's death");
    auto const answer = stream.get();
    BOOST_TEST(answer.looks_complete());
    BOOST_TEST(answer.text() == expected_text("lot-1@v1", "long", 400));
    BOOST_TEST(fleet.engine_records("violation", "unload-while-serving").empty());
}

BOOST_AUTO_TEST_CASE(an_owner_that_paused_gives_no_order_when_it_wakes)
{
    process_fleet fleet({.nodes = 3, .engines = 2, .joined = true});
    auto const owner = find_owner(fleet, 3);
    auto const other = (owner + 1) % 3;
    BOOST_TEST(fleet.complete("lot-1", "hello", 5, false, owner).looks_complete());

    // Longer than the term, so that another host takes over
    fleet.node(owner).signal(SIGSTOP);
    time_to_answer(fleet, other, "while it pauses");
    fleet.node(owner).signal(SIGCONT);
    BOOST_TEST(eventually(
        [&]
        {
            return fleet.complete("lot-3", "awake", 3, false, owner).text() ==
                   expected_text("lot-3@v1", "awake", 3);
        }));
    BOOST_TEST(eventually(
        [&] { return fleet.node_log(owner).find("lease_lost") != std::string::npos; }));
    BOOST_TEST(fleet.engine_records("violation", "unload-while-serving").empty());
}

BOOST_AUTO_TEST_CASE(nodes_that_are_told_to_stop_while_busy_end_in_order)
{
    process_fleet fleet({.nodes = 3,
                         .engines = 2,
                         .engine_arguments = {"--token-ms", "10"},
                         .joined = true});
    find_owner(fleet, 3);
    std::vector<std::unique_ptr<test_client>> callers;
    for (std::size_t node = 0; node < 3; ++node)
    {
        callers.push_back(std::make_unique<test_client>(fleet.node(node).address()));
        callers.back()->send("POST", "/dossier/v1/completions",
                             completion_body("lot-1", "slow", 100, true));
    }
    for (auto const& each : callers)
        BOOST_REQUIRE(each->read_events(2));

    // A second signal changes nothing
    for (int again = 0; again < 2; ++again)
        for (std::size_t node = 0; node < 3; ++node)
            fleet.node(node).signal(SIGTERM);
    for (auto const& each : callers)
        BOOST_TEST(each->read_answer().text() == expected_text("lot-1@v1", "slow", 100));
    callers.clear();
    fleet.stop_nodes();
}

BOOST_AUTO_TEST_CASE(a_node_that_is_told_to_stop_while_it_starts_ends_in_order)
{
    process_fleet fleet({.nodes = 1, .engines = 1});
    fleet.start_node({});
    fleet.node(1).signal(SIGTERM);
    fleet.stop_nodes();
}

BOOST_AUTO_TEST_SUITE_END()
