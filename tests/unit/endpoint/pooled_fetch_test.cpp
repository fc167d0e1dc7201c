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
