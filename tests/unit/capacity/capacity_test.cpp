#include <marjorampath/capacity/capacity_model.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;

namespace
{

double total_bytes(fleet_target const& target, bool per_request)
{
    measured_slopes slopes;
    for (auto const& field : slope_fields)
        slopes.*field.member = 1;
    double bytes = 0;
    for (auto const& role : compute_role_costs(target, {}, slopes))
        if (role.per_request == per_request)
            bytes += role.bytes_per_second;
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(capacity)

BOOST_AUTO_TEST_CASE(control_of_one_node_does_not_grow_with_regions)
{
    // The cost per host stays the same if fleet and regions double
    fleet_target doubled;
    doubled.hosts *= 2;
    doubled.engines *= 2;
    doubled.regions *= 2;
    doubled.zones *= 2;
    BOOST_TEST(total_bytes(doubled, false) == total_bytes({}, false),
               boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(only_per_request_roles_grow_with_requests)
{
    fleet_target busy;
    busy.requests_per_second *= 3;
    BOOST_TEST(total_bytes(busy, false) == total_bytes({}, false));
    BOOST_TEST(total_bytes(busy, true) == 3 * total_bytes({}, true),
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(reads_of_the_configuration_service_do_not_grow_with_nodes)
{
    fleet_target larger;
    larger.hosts *= 10;
    BOOST_TEST(configuration_reads_per_second(larger, {}) ==
               configuration_reads_per_second({}, {}));
}

BOOST_AUTO_TEST_SUITE_END()
