#pragma once

namespace marjorampath
{

/// The size that the fleet has to carry, and the bounds of control on one node.
struct fleet_target
{
    /// Entry hosts of all regions.
    double nodes = 340;
    /// Model engines of all regions.
    double engines = 2'600;
    /// Adapters.
    double adapters = 10'000;
    /// Requests a second at the peak.
    double requests_per_second = 18'000;
    /// Generated tokens a second at the peak.
    double tokens_per_second = 4'600'000;
    /// Regions.
    double regions = 5;
    /// Availability zones of all regions.
    double zones = 16;
    /// Changes of configuration a day.
    double changes_per_day = 12'000;
    /// Hosts that are restarted or replaced a day.
    double replacements_per_day = 610;
    /// Bound: share of a core that control may use on one node.
    double control_core_share = 0.046;
    /// Bound: memory that control may use on one node, in bytes.
    double control_memory_bytes = 64e6;
    /// Bound: bytes a second that control may send on one node.
    double control_bytes_per_second = 23e3;
};

} // namespace marjorampath
