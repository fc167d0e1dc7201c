#pragma once

namespace marjorampath
{

/// Design parameters and settings that affect the cost of control.
struct fleet_design
{
    /// Engines per cell.
    double engines_per_cell = 16;
    /// Witnesses per availability zone.
    double witnesses_per_zone = 2;
    /// Interval between renewals of a lease, in seconds.
    double renew_period_s = 0.5;
    /// Interval between the probes that a host sends, in seconds.
    double probe_period_s = 0.5;
    /// Interval between reports of an engine, in seconds.
    double engine_report_period_s = 1;
    /// Hosts per region that watch the configuration service.
    double readers_per_region = 2;
    /// Longest wait of one watch request, in seconds.
    double watch_wait_s = 30;
};

} // namespace marjorampath
