#include <serving/host_list/host_entry.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace marjorampath::serving;

BOOST_AUTO_TEST_SUITE(host_entry_test)

BOOST_AUTO_TEST_CASE(all_entries_of_a_list_are_read)
{
    auto const hosts = parse_host_list(
        R"({"hosts":[{"name":"e1","role":"endpoint","kind":"engine",)"
        R"("address":"127.0.0.1:80","zone":"a","region":"r","state":"leaving"},)"
        R"({"name":"n1","role":"entry","kind":"","address":"[::1]:90","zone":"b",)"
        R"("region":"r","state":"live","extra":1}]})");
    BOOST_REQUIRE(hosts.has_value());
    BOOST_REQUIRE(hosts->size() == 2u);
    auto const& engine = hosts->front();
    BOOST_TEST(engine.address.port() == 80);
    BOOST_TEST((engine.state == host_state::leaving));
    BOOST_TEST((hosts->back().role == host_role::entry));
    BOOST_TEST(hosts->back().zone == "b");
}

BOOST_AUTO_TEST_CASE(one_bad_entry_rejects_the_list)
{
    std::string const good = R"({"name":"e1","role":"endpoint","kind":"engine",)"
                             R"("address":"127.0.0.1:80","zone":"a","region":"r",)"
                             R"("state":"live"})";
    BOOST_TEST(parse_host_list(R"({"hosts":[)" + good + "]}").has_value());
    for (std::string const bad :
         {"{}", "1", R"({"name":"e2","role":"endpoint","state":"live","address":"x:1"})",
          R"({"name":"e2","role":"endpoint","state":"live","address":"127.0.0.1:0"})",
          R"({"name":"e2","role":"other","state":"live","address":"127.0.0.1:1"})",
          R"({"name":"e2","role":"entry","state":"gone","address":"127.0.0.1:1"})",
          R"({"name":7,"role":"entry","state":"live","address":"127.0.0.1:1"})"})
    {
        BOOST_TEST(!parse_host_list(fmt::format(R"({{"hosts":[{},{}]}})", good, bad))
                        .has_value(),
                   bad);
    }
    // A duplicate name
    BOOST_TEST(!parse_host_list(R"({"hosts":[)" + good + "," + good + "]}").has_value());
    BOOST_TEST(!parse_host_list("{\"hosts\":[").has_value());
}

BOOST_AUTO_TEST_CASE(addresses_are_ip_and_port)
{
    BOOST_TEST(parse_address("10.0.0.1:65535").has_value());
    for (std::string const bad : {"10.0.0.1", "10.0.0.1:65536", "10.0.0.1:-1", "host:80",
                                  "10.0.0.1:", "", ":80", "10.0.0.1:8x"})
        BOOST_TEST(!parse_address(bad).has_value(), bad);
}

BOOST_AUTO_TEST_SUITE_END()
