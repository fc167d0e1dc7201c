#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/store_fallback.hpp>

#include <chrono>

namespace marjorampath::serving
{

/// Timings of an entry node.
struct entry_node_times
{
    /// Interval of listing the endpoints: two listings fit in the time within which a
    /// leaving endpoint must be known.
    duration listing_interval = std::chrono::milliseconds(800);
    /// Longest wait of a watch. A watch whose connection broke silently is noticed only
    /// after this time, which must be well below the time within which a configuration
    /// must be in force.
    std::chrono::milliseconds watch_wait{1'000};
    /// The same of a watch that only confirms the configuration.
    std::chrono::milliseconds confirming_watch_wait{50};
    /// Pause after a failed read of the store; also the interval and the timeout of reads
    /// from peers.
    duration read_pause = std::chrono::milliseconds(300);
    /// Age of this host's listing beyond which a peer's is read. Together with the
    /// intervals of reads and heartbeats, all hosts learn of a leaving endpoint
    /// within 2.5 s.
    duration max_listing_age = std::chrono::milliseconds(1'500);
    /// Added to the age of the listing of a peer in another zone, because traffic between
    /// zones is charged.
    duration other_zone_penalty = std::chrono::milliseconds(900);
    /// When a host that reads from others reads the store itself.
    store_fallback::options fallback;
    /// Least time between two reads of the listing for streams that are continued here.
    duration wanted_listing_interval = std::chrono::milliseconds(200);
    /// Least time between two rounds of reads of the store's history.
    duration history_interval = std::chrono::milliseconds(500);
    /// Interval at which endpoints announce themselves, approximately.
    duration announcement_interval = std::chrono::milliseconds(1'200);
    /// Interval of reading the report of an engine whose lease this host holds.
    duration report_interval = std::chrono::milliseconds(600);
    /// Time within which a probed endpoint must answer: many round trips to another zone.
    duration reach_timeout = std::chrono::milliseconds(300);
    /// Interval of the periodic tasks.
    duration periodic_interval = std::chrono::milliseconds(100);
    /// Time for which new callers are accepted after the signal to stop: two readiness
    /// probes of the balancer, one per second, and their latency.
    duration shutdown_notice = std::chrono::milliseconds(2'300);
    /// Time between cutting the remaining connections and the end of the grace period.
    duration grace_margin = std::chrono::milliseconds(350);
    /// Time before that for the answers to the requests that have not ended.
    duration last_answers = std::chrono::milliseconds(300);
};

} // namespace marjorampath::serving
