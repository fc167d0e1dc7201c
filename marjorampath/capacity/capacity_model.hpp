#pragma once

#include <marjorampath/capacity/fleet_design.hpp>
#include <marjorampath/capacity/fleet_target.hpp>
#include <marjorampath/capacity/measured_slopes.hpp>

#include <string>
#include <vector>

namespace marjorampath
{

/// Cost of one role on the host that has the largest share of it.
struct role_cost
{
    /// Name of the role, as in the capacity report.
    std::string role;
    /// Mechanism that implements the role.
    std::string mechanism;
    /// Quantities that the cost grows with.
    std::string grows_with;
    /// Messages per second, sent and received.
    double messages_per_second = 0;
    /// Bytes per second, sent and received.
    double bytes_per_second = 0;
    /// Fraction of one core.
    double core_share = 0;
    /// Memory, in bytes.
    double memory_bytes = 0;
    /// Whether the cost grows with the request rate rather than with the size of the
    /// fleet.
    bool per_request = false;
};

/// Computes the costs of all roles for a fleet of the target size from measured slopes.
std::vector<role_cost> compute_role_costs(fleet_target const& target,
                                          fleet_design const& design,
                                          measured_slopes const& slopes);

/// Computes the read rate at the configuration service, in requests per second of all
/// readers.
double configuration_reads_per_second(fleet_target const& target,
                                      fleet_design const& design);

} // namespace marjorampath
