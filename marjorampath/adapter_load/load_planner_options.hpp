#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Options of a load planner.
struct load_planner_options
{
    /// Delay between taking over a lease and the first order. Longer than the window
    /// within which an endpoint treats orders from two hosts as alternating.
    duration takeover_delay = std::chrono::milliseconds(3'100);
    /// Load time of an adapter from the weight store when the store is idle.
    duration adapter_load_time = std::chrono::milliseconds(290);
    /// Minimum number of concurrent loads, over all engines, that the weight store serves
    /// at full speed; beyond its limit, load times grow in proportion. The store does not
    /// report the limit: the deployments' sheets have 8 for up to 12 engines, 32 for 60,
    /// 40 for 90.
    std::uint32_t min_full_speed_loads = 8;
    /// Concurrent loads at full speed per engine, for larger deployments. Errs on the
    /// high side: a request sent too early is refused, which lengthens the margin, but
    /// one that waits too long goes unnoticed.
    double full_speed_loads_per_engine = 0.4;
    /// Maximum number of concurrent loads at one engine; the engine has the same limit.
    std::uint32_t max_loads_per_engine = 4;
    /// Half-life of the request counts that decide which adapter is evicted.
    duration use_half_life = std::chrono::seconds(6);
    /// Time for which an adapter is not evicted after its load ended, so that requests
    /// waiting for it can reach it.
    duration eviction_grace = std::chrono::milliseconds(600);
    /// Age at which a host's usage report expires.
    duration usage_expiry = std::chrono::seconds(3);
    /// Time until an order shows in the engine's reports.
    duration report_lag = std::chrono::milliseconds(500);
    /// Maximum number of pending orders for one engine.
    std::size_t max_pending_orders = 16;
};

} // namespace marjorampath
