#include <marjorampath/peer/forward_choice.hpp>
#include <marjorampath/peer/peer_table.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <map>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

service_id const models = service_id::of("models");
time_point const now{1'000s};

peer_address address_of(std::uint32_t index)
{
    return {.address = 0x0a000000U + index, .port = 9};
}

peer_heartbeat heartbeat_of(std::uint32_t index, char const* zone)
{
    return {.host = host_id::of(fmt::format("host-{}", index)),
            .zone = zone_id::of(zone),
            .incarnation = 1,
            .address = address_of(index)};
}

// Six hosts in two zones; host 0 is this one
std::vector<peer_heartbeat> six_hosts()
{
    std::vector<peer_heartbeat> hosts;
    for (std::uint32_t index = 0; index < 6; ++index)
        hosts.push_back(heartbeat_of(index, index < 3 ? "a" : "b"));
    return hosts;
}

// How many of a thousand requests each host gets
std::map<peer_address, int> choices(std::vector<peer_heartbeat> const& hosts,
                                    std::vector<peer_address> const& tried = {},
                                    duration later = 0s)
{
    peer_table table(hosts[0], {}, {});
    for (std::size_t index = 1; index < hosts.size(); ++index)
        table.on_heartbeat(hosts[index], now);
    std::map<peer_address, int> counts;
    for (std::uint64_t request = 1; request <= 1'000; ++request)
        if (auto const chosen = choose_forward_host(table,
                                                    {.request = request_id(request),
                                                     .service = models,
                                                     .zone = hosts[0].zone,
                                                     .tried = tried},
                                                    now + later))
            ++counts[*chosen];
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(forward_choices)

BOOST_AUTO_TEST_CASE(requests_are_spread_over_the_hosts_of_the_zone)
{
    auto const counts = choices(six_hosts());
    BOOST_REQUIRE(counts.size() == 2U);
    BOOST_TEST(counts.contains(address_of(1)));
    BOOST_TEST(counts.begin()->second > 400);
    BOOST_TEST(counts.begin()->second < 600);
}

// One host of a zone would get twice its requests
BOOST_AUTO_TEST_CASE(a_single_host_of_the_zone_does_not_get_all_requests)
{
    auto hosts = six_hosts();
    hosts[1].unreached_services = {models};
    auto const counts = choices(hosts);
    BOOST_TEST(counts.size() == 4U);
    BOOST_TEST(!counts.contains(address_of(1)));
}

BOOST_AUTO_TEST_CASE(hosts_that_cannot_serve_the_request_are_left_out)
{
    auto hosts = six_hosts();
    hosts[1].unreached_services = {models};
    hosts[2].leaving = true;
    hosts[3].unreached_services = {service_id::of("ledger")};
    auto const counts = choices(hosts, {address_of(4)});
    BOOST_TEST(counts.size() == 2U);
    BOOST_TEST(counts.contains(address_of(3)));
    BOOST_TEST(counts.contains(address_of(5)));
}

BOOST_AUTO_TEST_CASE(nobody_is_chosen_where_no_host_reaches_the_service)
{
    auto hosts = six_hosts();
    for (auto& host : hosts)
        host.unreached_services = {models};
    BOOST_TEST(choices(hosts).empty());
    BOOST_TEST(choices(six_hosts(), {}, 10s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
