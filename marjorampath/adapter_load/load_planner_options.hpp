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
    /// within which an endpoint detects alternating orders from two hosts.
    duration takeover_delay = std::chrono::milliseconds(3'100);
    /// Load time of an adapter from the weight store when the store is idle.
    duration adapter_load_time = std::chrono::milliseconds(290);
    /// Lower bound of the estimated number of concurrent loads that the weight store
    /// serves at full speed; with more loads, load times grow in proportion. The store
    /// does not report its limit: the deployments' sheets have 8 for up to 12 engines, 32
    /// for 60, 40 for 90.
    std::uint32_t min_full_speed_loads = 8;
    /// Estimated number of such loads per engine; the larger of this times the number of
    /// engines and the lower bound is used. Too high a value is
    /// corrected, as engines refuse requests that come before the end of a load, which
    /// raises the dispatcher's ready margin; too low a value only makes requests wait
    /// longer and goes unnoticed.
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
    /// Greatest age of the state that a report shows. A lower number of orders than
    /// expected is only believed after it.
    duration max_report_age = std::chrono::seconds(2);
    /// Maximum number of pending orders for one engine.
    std::size_t max_pending_orders = 16;
};

} // namespace marjorampath
