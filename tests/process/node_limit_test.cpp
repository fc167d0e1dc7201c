#include <tests/process/client_crowd.hpp>
#include <tests/process/process_fleet.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

using namespace marjorampath::test;

// Clients that keep to no limit, at a node of marjorampathd. Each test checks that the
// node lives within its memory and its descriptors, and still serves one ordinary request
// while the crowd's connections are open.

namespace
{

// Memory and descriptors of a small machine, and what the node may take of them
constexpr std::size_t machine_memory_mb = 64;
constexpr std::size_t machine_descriptors = 400;
constexpr std::size_t most_memory_kb = 60'000;
// Clients of the crowds
constexpr std::size_t senders = 250;
// Body that a client sends without its end
constexpr std::size_t unfinished_body_bytes = 460'000;

std::string limit_settings()
{
    return fmt::format("limits:\n  memory_mb: {}\n  descriptors: {}\n", machine_memory_mb,
                       machine_descriptors);
}

// The heads of a crowd's requests, which have this field more
std::function<std::string(std::size_t)> heads(std::string_view more)
{
    auto head =
        fmt::format("POST /services/custody/x HTTP/1.1\r\nHost: a\r\n{}\r\n\r\n", more);
    return [head = std::move(head)](std::size_t) { return head; };
}

std::string chunk(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'a'));
}

void check(client_crowd::options values)
{
    process_fleet fleet({.engines = 0, .node_settings = limit_settings()});
    auto& node = fleet.node();
    client_crowd crowd(node.address(), std::move(values));
    crowd.send();
    await_settled(node);
    BOOST_TEST_MESSAGE("sent " << crowd.sent() << " bytes, memory "
                               << node.peak_memory_kb() << " KB, descriptors "
                               << node.open_descriptors());
    BOOST_TEST(node.running());
    BOOST_TEST(node.peak_memory_kb() < most_memory_kb);
    BOOST_TEST(node.open_descriptors() < machine_descriptors);
    BOOST_TEST(call(node.address(), "GET", "/services/custody/up").status == 200U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_limits)

// Bodies within the limit that stop just before their end
BOOST_AUTO_TEST_CASE(unfinished_bodies_in_large_chunks)
{
    check({.clients = senders,
           .head = heads("Transfer-Encoding: chunked"),
           .piece = chunk(unfinished_body_bytes / 10),
           .repeats = 10});
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_with_a_length)
{
    check({.clients = senders,
           .head = heads(fmt::format("Content-Length: {}", unfinished_body_bytes + 1)),
           .piece = std::string(unfinished_body_bytes, 'a'),
           .repeats = 1});
}

// Trailer fields without end behind a chunked body
BOOST_AUTO_TEST_CASE(trailers_without_end)
{
    check({.clients = senders,
           .head = [head = heads("Transfer-Encoding: chunked")](std::size_t client)
           { return head(client) + chunk(1) + "0\r\n"; },
           .piece = "X-Filler: " + std::string(4'000, 'a') + "\r\n",
           .repeats = 1'000});
}

// Clients that try to take all descriptors and send nothing, or half a head
BOOST_AUTO_TEST_CASE(idle_connections)
{
    check({.clients = machine_descriptors,
           .head = [](std::size_t) { return std::string(); },
           .piece = {},
           .repeats = 0});
}

BOOST_AUTO_TEST_CASE(half_sent_heads)
{
    check(
        {.clients = machine_descriptors,
         .head = [](std::size_t) { return std::string("POST /services/x HTTP/1.1\r\n"); },
         .piece = {},
         .repeats = 0});
}

BOOST_AUTO_TEST_SUITE_END()
