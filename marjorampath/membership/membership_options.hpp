#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Settings of `membership`; must be equal on all hosts of a region.
struct membership_options
{
    /// Time between two regular probes.
    duration probe_period = std::chrono::milliseconds(400);
    /// Timeout of a direct probe.
    duration probe_timeout = std::chrono::milliseconds(150);
    /// Timeout of the indirect probes, which follow a direct probe that timed out.
    duration indirect_timeout = std::chrono::milliseconds(200);
    /// Number of hosts that probe an unresponsive host indirectly.
    std::size_t indirect_probes = 3;
    /// Time that a suspect has to refute the suspicion, at local health score zero.
    duration suspicion = std::chrono::milliseconds(2'000);
    /// Highest local health score; timeouts are multiplied by the score plus one.
    std::uint32_t max_health_score = 8;
    /// Gap between two ticks above which the process counts as paused.
    duration pause_threshold = std::chrono::milliseconds(375);
    /// Length of a pause above which the process becomes a new incarnation.
    duration new_incarnation_pause = std::chrono::milliseconds(3'000);
    /// A record is sent in `spread_factor * std::bit_width(number of hosts)` messages.
    std::uint32_t spread_factor = 3;
    /// Largest size of the host records in one message, in bytes.
    std::size_t max_gossip_bytes = 480;
    /// Number of probes in each period to hosts of the own zone with which incarnations
    /// are not exchanged.
    std::size_t incarnation_exchange_probes = 3;
    /// One dead host that is still listed is probed once in this many periods.
    std::uint32_t dead_probe_periods = 5;
    /// Time for which an entry is kept after its host is gone.
    duration retention = std::chrono::seconds(60);
};

} // namespace marjorampath
