#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Settings of a load planner.
struct load_planner_options
{
    /// Pause between taking a lease over and the first order: longer than the span within
    /// which endpoints count orders of two hosts as taking turns.
    duration takeover_delay = std::chrono::milliseconds(3'100);
    /// Time of an adapter's load from the weight store, unloaded.
    duration adapter_load_time = std::chrono::milliseconds(290);
    /// Adapters on their way from the weight store to all engines that are loaded at full
    /// speed, at least; loads take longer in proportion beyond. The store does not tell:
    /// the deployments' sheets have 8 for up to 12 engines, 32 for 60, 40 for 90.
    std::uint32_t min_full_speed_loads = 8;
    /// The same for each engine, in larger deployments. Rather too many: a request that
    /// comes too early is refused and lengthens the margin, one that waits too long does
    /// not show.
    double full_speed_loads_per_engine = 0.4;
    /// Adapters that may be on their way to one engine: the engine's own bound.
    std::uint32_t max_loads_per_engine = 4;
    /// Half-life of the counts by which adapters are kept.
    duration use_half_life = std::chrono::seconds(6);
    /// Time for which an adapter stays after its load ended, so that whoever waits for it
    /// gets there.
    duration eviction_grace = std::chrono::milliseconds(600);
    /// Time after which what a host reported as in flight is not believed any more.
    duration usage_expiry = std::chrono::seconds(3);
    /// Time before a report tells of an order: the lag of reports.
    duration report_lag = std::chrono::milliseconds(500);
    /// Orders that may wait for one engine.
    std::size_t max_pending_orders = 16;
};

} // namespace marjorampath
