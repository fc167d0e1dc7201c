#pragma once

namespace marjorampath
{

/// What the design and its settings fix, as far as cost depends on it.
struct fleet_design
{
    /// Engines of one cell.
    double engines_per_cell = 16;
    /// Shards of the idempotency keys in one region.
    double key_shards_per_region = 256;
    /// Witnesses in each zone.
    double witnesses_per_zone = 2;
    /// Time between two renewals of a lease, in seconds.
    double renew_period_s = 0.5;
    /// Time between two probes of a host, in seconds.
    double probe_period_s = 0.5;
    /// Share of the requests that carry an idempotency key.
    double keyed_share = 0.3;
    /// Time for which an answered key is remembered, in seconds.
    double key_retention_s = 600;
    /// Hosts that remember one key.
    double key_copies = 3;
    /// Time between two reports of an engine, in seconds.
    double engine_report_period_s = 1;
    /// Hosts of a region that watch the configuration service.
    double readers_per_region = 2;
    /// Time for which a watch waits, in seconds.
    double watch_wait_s = 30;
};

} // namespace marjorampath
