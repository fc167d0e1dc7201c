#include <marjorampath/core/hash.hpp>
#include <marjorampath/peer/heartbeat_groups.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace marjorampath
{

std::size_t heartbeat_group_size(std::size_t fleet_hosts)
{
    auto const root =
        std::sqrt(static_cast<double>(std::max<std::size_t>(fleet_hosts, 1)));
    return std::size_t{1} << static_cast<unsigned>(std::lround(std::log2(root)));
}

heartbeat_group heartbeat_group_of(host_id host, zone_id zone, std::size_t zone_hosts,
                                   std::size_t fleet_hosts)
{
    auto const groups = std::max<std::size_t>(
        std::bit_floor(zone_hosts / heartbeat_group_size(fleet_hosts)), 1);
    if (groups == 1)
        return {.zone = zone};

    // The highest bits, so that twice as many groups halve each one
    auto const bits = std::countr_zero(groups);
    auto const hash = hash_combine(host.number(), 0);
    return {.zone = zone,
            .index = static_cast<std::uint32_t>(
                hash >> (std::numeric_limits<std::uint64_t>::digits - bits))};
}

} // namespace marjorampath
