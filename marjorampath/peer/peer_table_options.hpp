#pragma once

#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// Settings of a peer table.
struct peer_table_options
{
    /// Time between two beats to each host, in a small fleet.
    duration beat_interval = std::chrono::milliseconds(200);
    /// Hosts beyond which beats become rarer, in proportion.
    std::size_t small_fleet = 12;
    /// Beats that may be missed before a host counts as silent.
    std::uint32_t missed_beats = 5;
    /// Time after which a silent host is forgotten. Longer than the partitions that the
    /// deployments' sheets name, so that both sides of one never hold a majority.
    duration forget_time = std::chrono::seconds(20);
};

} // namespace marjorampath
