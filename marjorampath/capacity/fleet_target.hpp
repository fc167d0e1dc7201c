#pragma once

namespace marjorampath
{

/// Size that the fleet must support, and limits on the control traffic, processor time
/// and memory of one host.
struct fleet_target
{
    /// Entry hosts in all regions.
    double hosts = 340;
    /// Model engines in all regions.
    double engines = 2'600;
    /// Adapters.
    double adapters = 10'000;
    /// Peak rate of requests per second.
    double requests_per_second = 18'000;
    /// Peak rate of generated tokens per second.
    double tokens_per_second = 4'600'000;
    /// Regions.
    double regions = 5;
    /// Availability zones in all regions.
    double zones = 16;
    /// Configuration changes per day.
    double changes_per_day = 12'000;
    /// Hosts restarted or replaced per day.
    double replacements_per_day = 610;
    /// Limit: fraction of a core that control may use on one host.
    double control_core_share = 0.046;
    /// Limit: memory that control may use on one host, in bytes.
    double control_memory_bytes = 64e6;
    /// Limit: bytes per second that control may send on one host.
    double control_bytes_per_second = 23e3;
};

} // namespace marjorampath
