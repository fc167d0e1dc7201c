#include <tests/unit/entry/entry_fixture.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <platform/base64.hpp>
#include <platform/store_client.hpp>
#include <string>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;
using marjorampath::platform::store_client;

namespace
{

scripted_answer answer(std::string const& status, std::string const& body)
{
    return {.text = fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", status,
                                body.size(), body),
            .closes = false};
}

std::string item(std::string const& id, std::uint64_t revision)
{
    auto const value = platform::encode_base64(
        R"({"service":"s","address":"10.0.0.1:8000","zone":"z","version":"v1",)"
        R"("slots":4,"state":"ready","born":7})");
    return fmt::format(R"({{"key":"servers/{}","value":"{}","revision":{}}})", id, value,
                       revision);
}

std::string page(std::string const& items, std::uint64_t revision, bool truncated)
{
    return fmt::format(R"({{"items":[{}],"truncated":{},"currentRev":{}}})", items,
                       truncated, revision);
}

// A store that gives these answers, and a client of it
struct store_fixture
{
    explicit store_fixture(std::deque<scripted_answer> answers)
        : server(loop, std::move(answers)),
          client(loop.get_executor(), {.server = server.address()})
    {
    }

    serving::endpoint_listing read()
    {
        serving::endpoint_listing listing;
        auto done = false;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void>
            {
                listing = co_await client.read_endpoints();
                done = true;
            },
            asio::detached);
        while (!done)
            loop.run_one_for(std::chrono::seconds(1));
        return listing;
    }

    [[nodiscard]] std::string target(std::size_t index) const
    {
        auto const text = server.requests.at(index).target();
        return {text.data(), text.size()};
    }

    asio::io_context loop;
    scripted_server server;
    store_client client;
};

std::vector<std::string> names(serving::endpoint_listing const& listing)
{
    std::vector<std::string> found;
    for (auto const& endpoint : listing.endpoints)
        found.push_back(endpoint.name);
    std::sort(found.begin(), found.end());
    return found;
}

using name_list = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(store_clients)

// Each listing of a large fleet took several calls
BOOST_AUTO_TEST_CASE(behind_a_listing_of_several_pages_only_changes_are_read)
{
    store_fixture store(
        {answer("200 OK", page(item("a", 3), 10, true)),
         answer("200 OK", page(item("b", 4) + "," + item("c", 5), 12, false)),
         answer("200 OK",
                fmt::format(R"({{"events":[{},{{"key":"servers/b",)"
                            R"("revision":14,"deleted":true}}],"currentRev":15}})",
                            item("d", 13))),
         answer("200 OK", R"({"events":[],"currentRev":15})")});
    BOOST_TEST((names(store.read()) == name_list{"a", "b", "c"}));
    auto const changed = store.read();
    BOOST_TEST((names(changed) == name_list{"a", "c", "d"}));
    BOOST_TEST(changed.revision == 15U);
    BOOST_TEST(store.target(2).starts_with("/api/kv-watch?prefix=servers/&after=10"));
    BOOST_TEST(!changed.error);

    // Other hosts get the same listing
    auto const relayed = store_client::read_relayed_endpoints(changed.relayed);
    BOOST_TEST((names(relayed) == name_list{"a", "c", "d"}));
    BOOST_TEST(relayed.revision == 15U);
    BOOST_TEST((names(store.read()) == name_list{"a", "c", "d"}));
    BOOST_TEST(store.target(3).find("after=15") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_listing_is_read_again_if_the_store_lacks_the_changes)
{
    store_fixture store({answer("200 OK", page(item("a", 3), 10, true)),
                         answer("200 OK", page(item("b", 4), 10, false)),
                         answer("410 Gone", "{}"),
                         answer("200 OK", page(item("c", 30), 40, false))});
    BOOST_TEST((names(store.read()) == name_list{"a", "b"}));
    auto const again = store.read();
    BOOST_TEST((names(again) == name_list{"c"}));
    BOOST_TEST(again.revision == 40U);
    BOOST_TEST(!again.error);
    BOOST_TEST(store.server.requests.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_listing_of_one_page_is_read_whole)
{
    store_fixture store({answer("200 OK", page(item("a", 3), 10, false)),
                         answer("200 OK", page(item("a", 3), 11, false))});
    store.read();
    BOOST_TEST(store.read().revision == 11U);
    BOOST_TEST(store.target(1).starts_with("/api/kv-range"));
}

BOOST_AUTO_TEST_SUITE_END()
