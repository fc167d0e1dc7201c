#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <platform/standin/operator_documents.hpp>
#include <platform/store_codec.hpp>
#include <string>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned not_found = 404;

// Changes that the store loses when it is restored
constexpr int lost_changes = 200;

// An entry node whose store is restored from a copy
struct restored_store
{
    void call_store(std::string const& target, std::string const& body = {})
    {
        BOOST_REQUIRE(call(entry.store(), "PUT", target, body).status == 200U);
    }

    // The operator publishes a configuration with as many added routes as its version
    void publish(std::uint64_t version)
    {
        call_store(
            fmt::format("/standin/put?key={}", platform::configuration_key),
            platform::configuration_document(
                {.version = version, .added_routes = static_cast<std::size_t>(version)}));
    }

    // Whether the routes of a configuration are in force
    bool in_force(std::uint64_t version)
    {
        platform::standin_deployment const deployment;
        auto const path = platform::added_route_prefix(version - 1) + "x";
        auto const attempt = fmt::format("probe-{}", ++probes);
        return call(entry.node().address(), "GET", path, {},
                    {{"Host", deployment.host},
                     {"X-Attempt-Id", attempt},
                     {"X-Deadline-Ms", "1000"}})
                   .status != not_found;
    }

    // Writes what the store then loses, and returns to the copy
    void lose_changes()
    {
        call_store("/standin/copy");
        for (int change = 0; change < lost_changes; ++change)
            call_store(fmt::format("/standin/put?key=other/{}", change), "lost");
    }

    entry_process entry{{}};
    int probes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_restores, restored_store)

// A configuration whose revision was below the highest one from before was never taken,
// and calls on its routes got 404
BOOST_AUTO_TEST_CASE(a_configuration_published_after_the_restoration_is_in_force)
{
    lose_changes();
    publish(2);
    BOOST_REQUIRE(eventually([this] { return in_force(2); }));
    call_store("/standin/restore");
    publish(2);
    publish(3);
    BOOST_TEST(eventually([this] { return in_force(3); }));
}

// Listings were ignored until the store had given out as many revisions as it had lost,
// and an endpoint that had reported that it leaves got requests
BOOST_AUTO_TEST_CASE(an_endpoint_that_leaves_after_the_restoration_gets_no_requests)
{
    lose_changes();
    // An entry that names no endpoint shows that the node has the listing
    call_store("/standin/put?key=servers/odd", "lost");
    BOOST_REQUIRE(eventually([this] { return entry.has_logged("servers/odd"); }));
    call_store("/standin/restore");
    call(entry.endpoint(), "POST", "/standin/set", "{\"draining\": true}");
    BOOST_TEST(eventually([this] { return entry.has_logged("endpoint_leaving"); }, 5s));

    platform::standin_deployment const deployment;
    auto const answer = call(
        entry.node().address(), "POST", deployment.unsafe + "x", {},
        {{"Host", deployment.host}, {"X-Attempt-Id", "late"}, {"X-Deadline-Ms", "1000"}});
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(!entry.has_run("late"));
}

BOOST_AUTO_TEST_SUITE_END()
