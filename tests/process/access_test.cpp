#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <platform/standin/operator_documents.hpp>
#include <string>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// Keys of the organisations, which nothing but the configuration may hold
constexpr char const* first_key = "kfirst0000000000001";
constexpr char const* second_key = "ksecond000000000002";
constexpr char const* unknown_key = "kunknown00000000003";

platform::standin_deployment deployment_of(std::uint64_t version)
{
    platform::standin_deployment deployment;
    deployment.version = version;
    deployment.open = "/open/";
    deployment.organisations = {{.name = "first", .key = first_key},
                                {.name = "second", .key = second_key}};
    return deployment;
}

entry_process::options node_with_keys(std::string const& settings = {})
{
    return {.deployment = deployment_of(1), .node_settings = settings};
}

// Sends a safe request with a key and returns its status
unsigned status_of(entry_process& entry, std::string const& attempt,
                   std::string const& key, std::string const& path = "/safe/x")
{
    header_fields fields{{"Host", deployment_of(1).host},
                         {"X-Attempt-Id", attempt},
                         {"X-Tenant", "forged"},
                         {"X-Deadline-Ms", "4000"}};
    if (!key.empty())
        fields["X-Key"] = key;
    return call(entry.node().address(), "GET", path, {}, fields).status;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_keys)

// Requests without a valid key ran, endpoints got the key, and logs could hold it
BOOST_AUTO_TEST_CASE(only_requests_with_a_key_run_and_the_key_stays_here)
{
    entry_process entry(node_with_keys());
    BOOST_TEST(status_of(entry, "r1", first_key) == 200U);
    BOOST_TEST(status_of(entry, "r2", second_key) == 200U);
    BOOST_TEST(status_of(entry, "r3", "") == 401U);
    BOOST_TEST(status_of(entry, "r4", unknown_key) == 401U);
    BOOST_TEST(status_of(entry, "r5", "", "/open/x") == 200U);
    BOOST_TEST(status_of(entry, "r6", "", "/none/x") == 404U);

    // Another organisation's key on a kept connection, and a body that is not read
    test_client client(entry.node().address());
    client.send_raw(fmt::format("POST /unsafe/x HTTP/1.1\r\nHost: {}\r\n"
                                "X-Attempt-Id: r7\r\nX-Key: {}\r\n"
                                "Content-Length: 500000\r\n\r\n",
                                deployment_of(1).host, unknown_key));
    BOOST_TEST(client.read_answer().status == 401U);

    auto const records = entry.records();
    for (auto const* expected :
         {R"("attempt":"r1","path":"/safe/x","organisation":"first","has_key":false)",
          R"("attempt":"r2","path":"/safe/x","organisation":"second","has_key":false)",
          R"("attempt":"r5","path":"/open/x","organisation":"","has_key":false)"})
        BOOST_TEST(contains(records, expected), expected);
    for (auto const* attempt : {"r3", "r4", "r6", "r7"})
        BOOST_TEST(!entry.has_run(attempt), attempt);
    for (auto const* key : {first_key, second_key, unknown_key})
        BOOST_TEST(!contains(entry.node_log(), key), key);
}

BOOST_AUTO_TEST_CASE(keys_are_added_and_revoked_by_a_configuration)
{
    entry_process entry(node_with_keys("revocation_ms: 5000\n"));
    BOOST_TEST(status_of(entry, "r1", first_key) == 200U);
    auto changed = deployment_of(2);
    changed.organisations = {{.name = "first", .key = ""},
                             {.name = "second", .key = unknown_key}};
    entry.publish(changed);
    BOOST_TEST(eventually([&] { return status_of(entry, "r2", unknown_key) == 200U; }));
    BOOST_TEST(status_of(entry, "r3", first_key) == 401U);
    BOOST_TEST(status_of(entry, "r4", second_key) == 401U);
    BOOST_TEST(!entry.has_run("r3"));
    BOOST_TEST(!contains(entry.node_log(), first_key));
}

// A node that has lost the store and has no peers went on with keys that may be revoked
BOOST_AUTO_TEST_CASE(a_node_that_cannot_confirm_its_configuration_refuses_keys)
{
    entry_process entry(node_with_keys("revocation_ms: 5000\n"));
    BOOST_TEST(status_of(entry, "r1", first_key) == 200U);
    entry.pause_store(true);
    BOOST_TEST(eventually([&] { return status_of(entry, "r2", first_key) == 503U; }));
    BOOST_TEST(status_of(entry, "r3", first_key) == 503U);
    BOOST_TEST(status_of(entry, "r4", "") == 401U);
    BOOST_TEST(status_of(entry, "r5", "", "/open/x") == 200U);
    BOOST_TEST(!entry.has_run("r3"));
    BOOST_TEST(entry.has_logged("configuration_unconfirmed"));
    entry.pause_store(false);
    BOOST_TEST(eventually([&] { return status_of(entry, "r6", first_key) == 200U; }));
    BOOST_TEST(entry.has_logged("configuration_confirmed"));
}

BOOST_AUTO_TEST_SUITE_END()
