#pragma once

#include <marjorampath/capacity/fleet_design.hpp>
#include <marjorampath/capacity/fleet_target.hpp>
#include <marjorampath/capacity/measured_slopes.hpp>

#include <string>
#include <vector>

namespace marjorampath
{

/// What one role costs the node that has the largest part of it.
struct role_cost
{
    /// Name of the role.
    std::string role;
    /// Mechanism that carries it.
    std::string mechanism;
    /// What its cost grows with.
    std::string grows_with;
    /// Messages a second, sent and received.
    double messages_per_second = 0;
    /// Bytes a second, sent and received.
    double bytes_per_second = 0;
    /// Share of one core.
    double core_share = 0;
    /// Memory in bytes.
    double memory_bytes = 0;
    /// Whether the cost comes with each request rather than with the size of the fleet.
    bool per_request = false;
};

/// The costs of all roles at the target, worked out from measured slopes.
std::vector<role_cost> compute_role_costs(fleet_target const& target,
                                          fleet_design const& design,
                                          measured_slopes const& slopes);

/// Reads a second at the configuration service by all readers.
double configuration_reads_per_second(fleet_target const& target,
                                      fleet_design const& design);

} // namespace marjorampath
