#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// State of an endpoint according to the host list, the sheet and its own reports.
struct endpoint_report
{
    /// The endpoint.
    endpoint_id endpoint;
    /// Its endpoint kind in the sheet.
    endpoint_kind_id kind;
    /// Its availability zone.
    zone_id zone;
    /// Increases with every restart; zero where the endpoint reports none.
    std::uint64_t boot_number = 0;
    /// Number of adapter slots; zero for plain services.
    std::uint32_t adapter_slots = 0;
    /// Largest number of requests that it runs at once.
    std::uint32_t concurrency = 1;
    /// Loaded adapter versions.
    std::vector<adapter_version_id> resident;
    /// Whether it is shutting down and must get no new requests.
    bool leaving = false;
    /// Whether it can be reached.
    bool reachable = true;
};

} // namespace marjorampath
