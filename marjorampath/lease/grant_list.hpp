#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/held_grant.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// An entry host's full list of the grants that it holds in a cell, sent to a new owner.
struct grant_list
{
    /// Host that holds the grants.
    host_id entry;
    /// Its incarnation.
    std::uint64_t entry_incarnation = 0;
    /// The cell.
    resource_id cell;
    /// Fencing number of the owner that the list answers. From then on the host accepts
    /// no grant of an owner with a lower number.
    std::uint64_t fencing_number = 0;
    /// All grants that the host holds in the cell.
    std::vector<held_grant> grants;
};

} // namespace marjorampath
