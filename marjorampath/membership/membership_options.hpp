#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Settings of the membership; equal on all hosts of a region.
struct membership_options
{
    /// Time between two probes.
    duration period = std::chrono::milliseconds(400);
    /// Time to wait for the reply to a direct probe.
    duration probe_timeout = std::chrono::milliseconds(150);
    /// Time to wait, after that, for the reply to the indirect probes.
    duration indirect_timeout = std::chrono::milliseconds(200);
    /// Number of hosts that are asked to probe a host that did not reply.
    std::size_t indirect_probes = 3;
    /// Time that a suspect has for its objection, at good local health.
    duration suspicion = std::chrono::milliseconds(2'000);
    /// Largest local health score; timeouts grow by the score plus one.
    std::uint32_t max_health_score = 8;
    /// A gap between two ticks that is larger than this counts as a pause.
    duration pause = std::chrono::milliseconds(375);
    /// A pause that is larger than this makes the process a new incarnation.
    duration new_incarnation_pause = std::chrono::milliseconds(3'000);
    /// Each record is passed on this often times the logarithm of the number of hosts.
    std::uint32_t spread_factor = 3;
    /// Bytes of host records in one message.
    std::size_t max_gossip_bytes = 480;
    /// Number of hosts of the own zone that are probed in a period to become
    /// incarnations_exchanged.
    std::size_t incarnation_exchange_probes = 3;
    /// A dead host that the host list shows is probed once in this many periods.
    std::uint32_t dead_probe_periods = 5;
    /// Time for which a host that is gone is remembered.
    duration memory = std::chrono::seconds(60);
};

} // namespace marjorampath
