#pragma once

#include <marjorampath/core/store_position.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>

#include <optional>
#include <vector>

namespace marjorampath
{

/// One change of an endpoint's entry in service discovery.
struct endpoint_entry_change
{
    store_position position;
    endpoint_id id;
    /// The entry as it was written; empty if it was removed.
    std::optional<endpoint_announcement> entry;
    /// Whether this change created the entry.
    bool created = false;
};

/// All changes of endpoints' entries between two positions of service discovery.
struct endpoint_history
{
    /// Position behind which no change is missing.
    store_position after;
    /// Position up to which no change is missing.
    store_position until;
    /// The changes, oldest first.
    std::vector<endpoint_entry_change> changes;
};

} // namespace marjorampath
