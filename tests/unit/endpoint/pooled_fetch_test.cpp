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
