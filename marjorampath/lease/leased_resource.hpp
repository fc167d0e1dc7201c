#pragma once

#include <marjorampath/core/identifier.hpp>

namespace marjorampath
{

/// A resource, such as a cell, that at most one host of the region holds at a time.
struct leased_resource
{
    /// The resource.
    resource_id resource;
    /// Zone whose hosts are preferred as holders; empty for none.
    zone_id zone;

    friend bool operator==(leased_resource const&, leased_resource const&) = default;
};

} // namespace marjorampath
