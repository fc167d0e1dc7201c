#pragma once

#include <marjorampath/core/identifier.hpp>

namespace marjorampath
{

/// One entry host of the host list.
struct listed_host
{
    /// The host.
    host_id host;
    /// Its zone.
    zone_id zone;
    /// Its region.
    region_id region;
    /// Whether it is leaving.
    bool leaving = false;
};

} // namespace marjorampath
