#include <serving/endpoint/http_fetch.hpp>
#include <serving/endpoint/pooled_fetch.hpp>
#include <serving/remote/answer_head.hpp>
#include <serving/remote/http_reader.hpp>
#include <tests/unit/entry/entry_fixture.hpp>
#include <tests/unit/entry/invalid_answers.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

template <class Result>
Result run(asio::io_context& loop, asio::awaitable<Result> operation)
{
    std::optional<Result> result;
    asio::co_spawn(loop, std::move(operation),
                   [&](std::exception_ptr const&, Result value)
                   { result = std::move(value); });
    while (!result)
        loop.run_one();
    return std::move(*result);
}

// Reads an answer to an order, a report or a probe
pooled_fetch_result fetch_pooled(asio::io_context& loop, scripted_server const& server)
{
    connection_pool pool(loop.get_executor(), {});
    directory_entry const endpoint{
        .id = endpoint_id::of("e"), .name = "e", .address = server.address()};
    return run(loop,
               pooled_fetch(pool, endpoint, {http::verb::get, "/api/report", 11}, {}));
}

// Reads another host's copy of the store
http_fetch_result fetch_new(asio::io_context& loop, scripted_server const& server)
{
    return run(loop, http_fetch(server.address(), {http::verb::get, "/relay", 11}, {}));
}

// Reads the store
http_read_result read_store(asio::io_context& loop, scripted_server const& server)
{
    http_reader reader(loop.get_executor(), {.server = server.address()});
    return run(loop, reader.get("/api/kv-range", 0ms));
}

} // namespace

BOOST_AUTO_TEST_SUITE(fetch_syntax)

// Guards against answers that are taken for reports, results of orders, copies of the
// store or the store's data although they are no valid answers
BOOST_AUTO_TEST_CASE(an_invalid_answer_is_an_error_of_each_reader)
{
    for (auto const& invalid : invalid_answers())
    {
        asio::io_context loop;
        scripted_server server(loop, {{invalid}, {invalid}, {invalid}});
        BOOST_TEST(bool(fetch_pooled(loop, server).error), invalid);
        BOOST_TEST(bool(fetch_new(loop, server).error), invalid);
        BOOST_TEST(bool(read_store(loop, server).error), invalid);
    }
}

// The final answer was left on the connection and taken for the one to the next request
BOOST_AUTO_TEST_CASE(each_reader_skips_interim_answers)
{
    asio::io_context loop;
    auto const text = interim_answers + sealed("whole");
    scripted_server server(loop, {{text}, {text}, {text}});
    BOOST_TEST(fetch_pooled(loop, server).body == "whole");
    BOOST_TEST(fetch_new(loop, server).answer.body() == "whole");
    BOOST_TEST(read_store(loop, server).body == "whole");

    auto const too_many =
        repeated_interim_answers(max_interim_answers + 1) + sealed("whole");
    scripted_server other(loop, {{too_many}, {too_many}, {too_many}});
    BOOST_TEST(bool(fetch_pooled(loop, other).error));
    BOOST_TEST(bool(fetch_new(loop, other).error));
    BOOST_TEST(bool(read_store(loop, other).error));
}

BOOST_AUTO_TEST_CASE(an_answer_that_arrives_byte_by_byte_is_read)
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void>
        {
            while (true)
            {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                socket.set_option(tcp::no_delay(true));
                for (auto const byte : interim_answers + sealed("whole"))
                    co_await asio::async_write(socket, asio::buffer(&byte, 1),
                                               asio::use_awaitable);
            }
        },
        asio::detached);
    http_reader reader(loop.get_executor(), {.server = acceptor.local_endpoint()});
    BOOST_TEST(run(loop, reader.get("/", 0ms)).body == "whole");
    auto const fetched = run(
        loop, http_fetch(acceptor.local_endpoint(), {http::verb::get, "/relay", 11}, {}));
    BOOST_TEST(fetched.answer.body() == "whole");
}

BOOST_AUTO_TEST_SUITE_END()
