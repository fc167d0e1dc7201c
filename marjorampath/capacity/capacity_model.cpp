#include <marjorampath/capacity/capacity_model.hpp>

#include <cmath>

namespace marjorampath
{

namespace
{

constexpr double seconds_per_day = 86'400;
constexpr double us_per_second = 1e6;

// Sizes derived from target and design
struct derived_sizes
{
    derived_sizes(fleet_target const& target, fleet_design const& design)
        : hosts_per_region(target.hosts / target.regions),
          cells_per_region(
              std::ceil(target.engines / target.regions / design.engines_per_cell)),
          cells_per_host(std::ceil(cells_per_region / hosts_per_region)),
          resources_per_host(cells_per_region / hosts_per_region),
          witnesses(std::ceil(target.zones / target.regions) * design.witnesses_per_zone),
          requests_per_host(target.requests_per_second / target.hosts),
          requests_per_cell(target.requests_per_second / target.regions /
                            cells_per_region),
          changes_per_second(target.changes_per_day / seconds_per_day)
    {
    }

    double hosts_per_region;
    double cells_per_region;
    // Rounded up: a host that owns cells owns at least one
    double cells_per_host;
    double resources_per_host;
    double witnesses;
    double requests_per_host;
    double requests_per_cell;
    double changes_per_second;
};

role_cost idle_cost(measured_slopes const& slopes)
{
    return {.role = "idle node",
            .mechanism = "the process and its timers in an idle fleet of three",
            .grows_with = "nothing",
            .core_share = slopes.base_us / us_per_second,
            .memory_bytes = slopes.base_memory};
}

role_cost member_cost(derived_sizes const& sizes, fleet_design const& design,
                      measured_slopes const& slopes)
{
    // Per period, a host probes one other host and is probed by one on average
    auto const exchanges = 2 / design.probe_period_s;
    return {.role = "member",
            .mechanism = "SWIM probes of a random host, gossip with a byte budget",
            .grows_with = "nothing (rate); hosts of the region (memory)",
            .messages_per_second = 2 * exchanges,
            .bytes_per_second = exchanges * slopes.probe_bytes,
            .core_share = exchanges * slopes.call_us / 2 / us_per_second,
            .memory_bytes = sizes.hosts_per_region * slopes.host_memory};
}

role_cost holder_cost(derived_sizes const& sizes, fleet_design const& design,
                      measured_slopes const& slopes)
{
    auto const renewals = sizes.witnesses / design.renew_period_s;
    auto const bytes =
        slopes.lease_bytes + sizes.resources_per_host * slopes.lease_resource_bytes;
    return {.role = "lease holder",
            .mechanism = "one renewal a witness for all resources of the host",
            .grows_with = "witnesses; resources of the host",
            .messages_per_second = 2 * renewals,
            .bytes_per_second = renewals * bytes,
            .core_share = renewals * slopes.call_us / 2 / us_per_second,
            .memory_bytes = sizes.resources_per_host * slopes.host_memory};
}

role_cost witness_cost(derived_sizes const& sizes, fleet_design const& design,
                       measured_slopes const& slopes)
{
    auto const renewals = sizes.hosts_per_region / design.renew_period_s;
    auto const bytes =
        slopes.lease_bytes + sizes.resources_per_host * slopes.lease_resource_bytes;
    return {.role = "witness (oldest hosts of a zone)",
            .mechanism = "answers the renewals of every host of the region",
            .grows_with = "hosts and resources of the region",
            .messages_per_second = 2 * renewals,
            .bytes_per_second = renewals * bytes,
            .core_share = renewals * slopes.call_us / 2 / us_per_second,
            .memory_bytes = sizes.cells_per_region * slopes.host_memory};
}

role_cost sheet_cost(fleet_target const& target, derived_sizes const& sizes,
                     measured_slopes const& slopes)
{
    auto const parse_us = target.adapters * slopes.sheet_adapter_us;
    return {.role = "sheet",
            .mechanism = "two readers a region; others fetch changed parts from a peer",
            .grows_with = "changes; adapters (size of a part, memory)",
            .messages_per_second = 2 * sizes.changes_per_second,
            .bytes_per_second = 2 * sizes.changes_per_second * slopes.sheet_change_bytes,
            .core_share = sizes.changes_per_second * parse_us / us_per_second,
            .memory_bytes = 2 * target.adapters * slopes.sheet_adapter_memory};
}

role_cost engine_report_cost(derived_sizes const& sizes, fleet_design const& design,
                             measured_slopes const& slopes)
{
    auto const engines = sizes.cells_per_host * design.engines_per_cell;
    auto const reports = engines / design.engine_report_period_s;
    return {.role = "cell owner: engines",
            .mechanism = "only the owner polls its engines for reports",
            .grows_with = "engines of the cell",
            .messages_per_second = 2 * reports,
            .bytes_per_second = reports * slopes.engine_report_bytes,
            .core_share = reports * slopes.engine_report_us / us_per_second,
            .memory_bytes = engines * slopes.engine_memory};
}

role_cost grant_cost(fleet_target const& target, derived_sizes const& sizes,
                     measured_slopes const& slopes)
{
    // Grants for its cells as their owner, and for its callers as their entry host
    auto const grants =
        sizes.cells_per_host * sizes.requests_per_cell + sizes.requests_per_host;
    auto const decisions = sizes.cells_per_host * sizes.requests_per_cell;
    return {.role = "cell owner and entry host: grants",
            .mechanism = "request, reply and release for each request; no payload",
            .grows_with = "requests of the cell",
            .messages_per_second = 3 * grants,
            .bytes_per_second = grants * slopes.grant_bytes,
            .core_share = (grants * slopes.call_us + decisions * slopes.decision_us) /
                          us_per_second,
            .memory_bytes = target.adapters / sizes.cells_per_region *
                            sizes.cells_per_host * slopes.cell_adapter_memory,
            .per_request = true};
}

} // namespace

std::vector<role_cost> compute_role_costs(fleet_target const& target,
                                          fleet_design const& design,
                                          measured_slopes const& slopes)
{
    derived_sizes const sizes(target, design);
    return {idle_cost(slopes),
            member_cost(sizes, design, slopes),
            holder_cost(sizes, design, slopes),
            witness_cost(sizes, design, slopes),
            sheet_cost(target, sizes, slopes),
            engine_report_cost(sizes, design, slopes),
            grant_cost(target, sizes, slopes)};
}

double configuration_reads_per_second(fleet_target const& target,
                                      fleet_design const& design)
{
    // Each wait of a watch is one read; each change adds reads of the manifest and parts
    auto const readers = target.regions * design.readers_per_region;
    constexpr double reads_per_change = 3;
    return readers / design.watch_wait_s +
           readers * reads_per_change * target.changes_per_day / seconds_per_day;
}

} // namespace marjorampath
