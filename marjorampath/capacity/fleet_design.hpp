#pragma once

namespace marjorampath
{

/// What the design and its settings fix, as far as cost depends on it.
struct fleet_design
{
    /// Engines of one cell.
    double engines_per_cell = 16;
    /// Witnesses in each zone.
    double witnesses_per_zone = 2;
    /// Time between two renewals of a lease, in seconds.
    double renew_period_s = 0.5;
    /// Time between two probes of a host, in seconds.
    double probe_period_s = 0.5;
    /// Time between two reports of an engine, in seconds.
    double engine_report_period_s = 1;
    /// Hosts of a region that watch the configuration service.
    double readers_per_region = 2;
    /// Time for which a watch waits, in seconds.
    double watch_wait_s = 30;
};

} // namespace marjorampath
