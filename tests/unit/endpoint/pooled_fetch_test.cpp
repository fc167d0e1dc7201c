#include <serving/endpoint/make_directory_entry.hpp>
#include <serving/endpoint/pooled_fetch.hpp>
#include <tests/unit/entry/entry_fixture.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

pooled_fetch_result fetch(asio::io_context& loop, connection_pool& pool,
                          directory_entry const& endpoint,
                          http_fetch_options const& options)
{
    std::optional<pooled_fetch_result> result;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void>
        {
            http::request<http::string_body> request(http::verb::get, "/", 11);
            result = co_await pooled_fetch(pool, endpoint, std::move(request), options);
        },
        asio::detached);
    while (!result)
        loop.run_one();
    return *result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pooled_fetches)

// The late answer to a request was taken for the answer to an order
BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped)
{
    asio::io_context loop;
    scripted_server server(
        loop, {{.text = sealed("first"), .closes = false, .late = sealed("copy")},
               {"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"}});
    connection_pool pool(loop.get_executor(), {});
    directory_entry const endpoint{
        .id = endpoint_id::of("e"), .name = "e", .address = server.address()};
    fetch(loop, pool, endpoint, {});
    auto const answer =
        fetch(loop, pool, endpoint, {.foreign_answer_field = "X-Attempt-Id"});
    BOOST_TEST(!answer.error);
    BOOST_TEST(answer.status == 202U);
    BOOST_TEST(answer.body == "{}");
}

// An order that was given up behind a cut link reached its engine when the link was back:
// after the adapter's place had been given away, and after orders with a higher token
BOOST_AUTO_TEST_CASE(a_request_that_was_given_up_is_not_delivered_later)
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    connection_pool pool(loop.get_executor(), {});
    directory_entry const endpoint{
        .id = endpoint_id::of("e"), .name = "e", .address = acceptor.local_endpoint()};

    // More than the sockets hold while the endpoint reads nothing
    constexpr std::size_t order_bytes = 30'000'000;
    http::request<http::string_body> order(http::verb::post, "/", 11);
    order.body().assign(order_bytes, 'x');
    auto given_up = false;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void>
        {
            auto const result = co_await pooled_fetch(pool, endpoint, std::move(order),
                                                      {.timeout = 200ms});
            BOOST_TEST(static_cast<bool>(result.error));
            given_up = true;
        },
        asio::detached);
    tcp::socket engine(loop);
    acceptor.async_accept(engine, [](error_code) {});
    while (!given_up)
        loop.run_one();

    std::size_t delivered = 0;
    error_code error;
    std::vector<char> bytes(1'000'000);
    while (!error)
        delivered += engine.read_some(asio::buffer(bytes), error);
    BOOST_TEST((error == asio::error::connection_reset), error.message());
    BOOST_TEST(delivered < order_bytes);
}

BOOST_AUTO_TEST_CASE(an_address_that_is_none_fails_the_connection_only)
{
    asio::io_context loop;
    connection_pool pool(loop.get_executor(), {});
    for (auto const* address : {"10.3.64.300", "", "host", "1.2.3"})
    {
        auto const endpoint =
            make_directory_entry({.name = "e", .address = address, .port = 1});
        BOOST_TEST(static_cast<bool>(fetch(loop, pool, endpoint, {}).error), address);
    }
}

BOOST_AUTO_TEST_SUITE_END()
