#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// What is known of an endpoint from the host list, the sheet and its own reports.
struct endpoint_report
{
    /// The endpoint.
    endpoint_id endpoint;
    /// Its kind in the sheet.
    endpoint_kind_id kind;
    /// Its zone.
    zone_id zone;
    /// Rises with every restart; zero where the endpoint reports none.
    std::uint64_t boot_number = 0;
    /// Number of adapters that it holds at once; zero for plain services.
    std::uint32_t adapter_slots = 0;
    /// Number of requests that it runs at once.
    std::uint32_t concurrency = 1;
    /// Adapter versions that it holds now.
    std::vector<adapter_version_id> resident;
    /// Whether it is leaving and must get no new work.
    bool leaving = false;
    /// Whether it answers.
    bool reachable = true;
};

} // namespace marjorampath
