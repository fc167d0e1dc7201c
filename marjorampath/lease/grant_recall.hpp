#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// A new owner's request to an entry host to list the grants that it holds in a cell. The
/// reply is a `grant_list`. The request does not revoke any grant.
struct grant_recall
{
    resource_id cell;
    /// New owner of the cell, which sends the request.
    host_id owner;
    /// Fencing number of that owner.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
