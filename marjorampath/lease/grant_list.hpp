#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/held_grant.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// All grants that an entry host holds in a cell, sent to the cell's new owner in reply
/// to a `grant_recall`.
struct grant_list
{
    /// Entry host, which holds the callers' connections and the grants.
    host_id entry;
    /// Incarnation of that host.
    std::uint64_t entry_incarnation = 0;
    resource_id cell;
    /// Fencing number of the owner that requested the list. From then on the host rejects
    /// grants of owners with a lower number.
    std::uint64_t fencing_number = 0;
    std::vector<held_grant> grants;
};

} // namespace marjorampath
