#include <tests/process/client_crowd.hpp>
#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <future>
#include <platform/standin/operator_documents.hpp>
#include <string>
#include <vector>

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
// Requests that such a client sends behind each other
constexpr std::size_t pipelined_requests = 20;
// Callers that read such answers: together they take twice what a node may reserve
constexpr std::size_t reading_callers = 16;
// Descriptors of a host with few, all of which the callers of a crowd try to take
constexpr std::size_t few_descriptors = 400;
// Body that is passed on by another host without its end
constexpr std::size_t forwarded_body_bytes = 900'000;
// Most memory once a crowd has left, as a multiple of the memory before it came
constexpr double most_memory_left = 1.5;

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

std::string chunk(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'a'));
}

// Sends one ordinary request and checks that it is answered
void check_ordinary_request(child_process const& node)
{
    platform::standin_deployment const deployment;
    auto const answer = call(node.address(), "GET", deployment.safe + "x", {},
                             {{"Host", deployment.host},
                              {"X-Attempt-Id", "ordinary"},
                              {"X-Deadline-Ms", "15000"}});
    BOOST_TEST(answer.status == 200U);
}

// Sends the bytes of a crowd to one of the node's addresses and checks what must hold
void check_at(entry_process& entry, boost::asio::ip::tcp::endpoint const& address,
              client_crowd::options values)
{
    client_crowd crowd(address, std::move(values));
    crowd.send();
    await_settled(entry.node());
    BOOST_TEST_MESSAGE("sent " << crowd.sent() << " bytes, memory "
                               << entry.node().peak_memory_kb() << " KB, descriptors "
                               << entry.node().open_descriptors());
    BOOST_TEST(!entry.node().wait(std::chrono::milliseconds(0)).has_value());
    BOOST_TEST(entry.node().peak_memory_kb() < most_memory_kb);
    BOOST_TEST(entry.node().open_descriptors() < most_descriptors);
    check_ordinary_request(entry.node());
}

// The same for callers of a node of its own
void check(client_crowd::options values, entry_process::options const& processes = {})
{
    entry_process entry(processes);
    check_at(entry, entry.node().address(), std::move(values));
}

// Clients that try to take all connections of a host with few descriptors, and each send
// the same text
void check_held_connections(std::string const& text)
{
    entry_process entry(
        {.node_settings = fmt::format("descriptors: {}\n", few_descriptors)});
    check_at(entry, entry.node().address(),
             {.clients = few_descriptors,
              .head = [text](std::size_t) { return text; },
              .piece = {},
              .repeats = 0});
    BOOST_TEST(entry.node().open_descriptors() < few_descriptors);
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

// Callers that read their long answers, which together take more memory than the node has
// for them: each waited with a part of its answer, and most were refused
BOOST_AUTO_TEST_CASE(long_answers_of_callers_that_read_are_all_served)
{
    entry_process entry({.plain_body_bytes = long_answer_bytes, .endpoint_slots = 100});
    platform::standin_deployment const deployment;
    std::vector<std::future<test_answer>> answers;
    for (std::size_t caller = 0; caller < reading_callers; ++caller)
        answers.push_back(std::async(
            std::launch::async,
            [&, caller]
            {
                return call(entry.node().address(), "GET", deployment.safe + "x", {},
                            {{"Host", deployment.host},
                             {"X-Attempt-Id", fmt::format("reader-{}", caller)},
                             {"X-Deadline-Ms", "15000"}});
            }));
    for (auto& answer : answers)
    {
        auto const received = answer.get();
        BOOST_TEST(received.status == 200U);
        BOOST_TEST(received.body.size() == long_answer_bytes);
    }
}

// Clients send many requests behind each other and read none of the long answers
BOOST_AUTO_TEST_CASE(pipelined_requests_whose_answers_nobody_reads)
{
    auto const head = heads("Content-Length: 0\r\n");
    check({.clients = slow_readers,
           .head =
               [head](std::size_t client)
           {
               std::string requests;
               for (std::size_t count = 0; count < pipelined_requests; ++count)
                   requests += head(client * pipelined_requests + count);
               return requests;
           },
           .piece = {},
           .repeats = 0},
          {.plain_body_bytes = long_answer_bytes, .endpoint_slots = 100});
}

// Clients send trailer fields without end behind a chunked body
BOOST_AUTO_TEST_CASE(trailers_without_end)
{
    auto const head = heads("Transfer-Encoding: chunked\r\n");
    check(
        {.clients = senders,
         .head = [head](std::size_t client) { return head(client) + chunk(1) + "0\r\n"; },
         .piece = "X-Filler: " + std::string(4'000, 'a') + "\r\n",
         .repeats = 1'000});
}

// Clients of a host with few descriptors connect and send nothing
BOOST_AUTO_TEST_CASE(idle_connections_of_a_host_with_few_descriptors)
{
    check_held_connections({});
}

// Clients of such a host send half a head
BOOST_AUTO_TEST_CASE(half_sent_heads_at_a_host_with_few_descriptors)
{
    check_held_connections("POST /safe/x HTTP/1.1\r\nHost: a");
}

// Unfinished bodies come over the connections on which other hosts pass requests on
BOOST_AUTO_TEST_CASE(unfinished_bodies_from_other_hosts)
{
    entry_process entry{{}};
    check_at(
        entry, entry.forwards(),
        {.clients = senders,
         .head = heads(fmt::format("Content-Length: {}\r\n", forwarded_body_bytes + 1)),
         .piece = std::string(forwarded_body_bytes, 'a'),
         .repeats = 1});
}

// A node kept the memory of a crowd after the crowd had left
BOOST_AUTO_TEST_CASE(memory_is_given_back_once_the_crowd_has_left)
{
    constexpr auto longest = std::chrono::seconds(30);
    entry_process entry{{}};
    check_ordinary_request(entry.node());
    auto const calm = static_cast<double>(entry.node().resident_bytes());
    {
        client_crowd crowd(entry.node().address(),
                           {.clients = senders,
                            .head = heads("Transfer-Encoding: chunked\r\n"),
                            .piece = chunk(unfinished_body_bytes / 10),
                            .repeats = 10});
        crowd.send();
        await_settled(entry.node());
    }
    auto const left = [&] { return static_cast<double>(entry.node().resident_bytes()); };
    eventually([&] { return left() < most_memory_left * calm; }, longest);
    BOOST_TEST_MESSAGE("before " << calm << " bytes, afterwards " << left());
    BOOST_TEST(left() < most_memory_left * calm);
    check_ordinary_request(entry.node());
}

BOOST_AUTO_TEST_SUITE_END()
