#include <tests/process/client_crowd.hpp>
#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <platform/standin/operator_documents.hpp>
#include <string>
#include <tuple>

using namespace marjorampath;
using namespace marjorampath::test;

// Clients that keep to no limit. Each test checks that the node lives within the memory
// and the descriptors of a small machine and still serves one ordinary request while the
// crowd's connections are open. The crowds and the bounds were fixed on the code before
// it bounded what all clients hold together.

namespace
{

// Memory of a small machine
constexpr std::size_t most_memory_kb = 60'000;
// Descriptors of a small machine
constexpr std::size_t most_descriptors = 1'024;
// Clients of the crowds that send, and of the one that reads slowly
constexpr std::size_t senders = 250;
constexpr std::size_t slow_readers = 60;
// Body that a client sends without its end; the limit on a body is 1 MiB
constexpr std::size_t unfinished_body_bytes = 460'000;
// Answer that a client does not read
constexpr std::size_t long_answer_bytes = 3'000'000;

// The heads of a crowd's requests, which have these fields more
std::function<std::string(std::size_t)> heads(std::string const& more)
{
    return [more](std::size_t client)
    {
        platform::standin_deployment const deployment;
        return fmt::format("POST {}x HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: crowd-{}\r\n"
                           "X-Deadline-Ms: 60000\r\n{}\r\n",
                           deployment.safe, deployment.host, client, more);
    };
}

// Waits until a node has read what it wants to read: until the bytes that wait at its
// sockets, its memory and its descriptors stay the same for a while
void await_settled(child_process const& node)
{
    constexpr int calm_polls = 150;
    constexpr auto longest = std::chrono::seconds(60);
    std::tuple<std::size_t, std::size_t, std::size_t> last;
    int calm = 0;
    eventually(
        [&]
        {
            std::tuple const current{unread_bytes(node.address()), node.resident_bytes(),
                                     node.open_descriptors()};
            calm = current == last ? calm + 1 : 0;
            last = current;
            return calm >= calm_polls;
        },
        longest);
}

std::string chunk(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'a'));
}

// Sends the crowd's bytes and checks what must hold
void check(client_crowd::options values, entry_process::options const& processes = {})
{
    entry_process entry(processes);
    client_crowd crowd(entry.node().address(), std::move(values));
    crowd.send();
    await_settled(entry.node());
    BOOST_TEST_MESSAGE("sent " << crowd.sent() << " bytes, memory "
                               << entry.node().peak_memory_kb() << " KB, descriptors "
                               << entry.node().open_descriptors());
    BOOST_TEST(!entry.node().wait(std::chrono::milliseconds(0)).has_value());
    BOOST_TEST(entry.node().peak_memory_kb() < most_memory_kb);
    BOOST_TEST(entry.node().open_descriptors() < most_descriptors);
    platform::standin_deployment const deployment;
    auto const answer = call(entry.node().address(), "GET", deployment.safe + "x", {},
                             {{"Host", deployment.host},
                              {"X-Attempt-Id", "ordinary"},
                              {"X-Deadline-Ms", "15000"}});
    BOOST_TEST(answer.status == 200U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_limits)

// A client announces a body far over the limit and sends it all the same
BOOST_AUTO_TEST_CASE(announced_bodies_over_the_limit)
{
    check({.clients = senders,
           .head = heads("Content-Length: 1000000000\r\n"),
           .piece = std::string(64'000, 'a'),
           .repeats = 60});
}

// A body far over the limit comes in chunks, without a word of its size
BOOST_AUTO_TEST_CASE(chunked_bodies_over_the_limit)
{
    check({.clients = senders,
           .head = heads("Transfer-Encoding: chunked\r\n"),
           .piece = chunk(64'000),
           .repeats = 60});
}

// Bodies within the limit that stop just before their end
BOOST_AUTO_TEST_CASE(unfinished_bodies_in_large_chunks)
{
    check({.clients = senders,
           .head = heads("Transfer-Encoding: chunked\r\n"),
           .piece = chunk(unfinished_body_bytes / 10),
           .repeats = 10});
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_in_small_chunks)
{
    std::string chunks;
    for (int count = 0; count < 1'000; ++count)
        chunks += chunk(1);
    check({.clients = senders,
           .head = heads("Transfer-Encoding: chunked\r\n"),
           .piece = std::move(chunks),
           .repeats = 40});
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_with_a_length)
{
    check(
        {.clients = senders,
         .head = heads(fmt::format("Content-Length: {}\r\n", unfinished_body_bytes + 1)),
         .piece = std::string(unfinished_body_bytes, 'a'),
         .repeats = 1});
}

// Clients ask for long answers and read them slowly
BOOST_AUTO_TEST_CASE(long_answers_that_nobody_reads)
{
    check({.clients = slow_readers,
           .head = heads("Content-Length: 0\r\n"),
           .piece = {},
           .repeats = 0},
          {.plain_body_bytes = long_answer_bytes, .endpoint_slots = 100});
}

BOOST_AUTO_TEST_SUITE_END()
