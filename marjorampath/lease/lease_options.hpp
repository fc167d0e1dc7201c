#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace marjorampath
{

/// Settings of the leases; equal on all hosts of a region.
struct lease_options
{
    /// Time for which a witness grants a lease.
    duration term = std::chrono::milliseconds(1'500);
    /// Part of the term by which the holder stops earlier than the witness: bounds the
    /// difference in rate of two clocks within a term.
    duration clock_margin = std::chrono::milliseconds(75);
    /// Time between two renewals.
    duration renew_interval = std::chrono::milliseconds(500);
    /// A gap between two ticks that is larger than this drops every lease.
    duration tick_gap = std::chrono::milliseconds(375);
    /// Time for which a host has to be among the oldest of its zone before it grants. Not
    /// below the term plus the clock margin.
    duration settle = std::chrono::milliseconds(3'000);
    /// Time that a holder which is not the preferred host keeps a lease before it hands
    /// it over to the preferred one.
    duration rebalance_delay = std::chrono::seconds(30);
    /// Zones of the region. Hosts of other zones are no witnesses, so that the quorum is
    /// a majority of all that can grant.
    std::vector<zone_id> zones;
    /// Number of witnesses of each zone.
    std::uint32_t witnesses_per_zone = 1;
    /// Whether a host grants only while the younger hosts of its zone are
    /// incarnations_exchanged, too. Not needed where incarnations rise with each start: a
    /// younger host then waits for this one, whichever of them knows of the other.
    bool wait_for_younger = true;
    /// Time after its end for which a witness remembers a lease and its fencing number.
    duration memory = std::chrono::minutes(10);
    /// Largest number of resources that a witness remembers.
    std::size_t max_resources = 65'536;

    /// Number of witnesses that have to grant: a majority of all places, empty or not.
    [[nodiscard]] std::uint32_t quorum() const noexcept
    {
        auto const places = static_cast<std::uint32_t>(zones.size()) * witnesses_per_zone;
        return places / 2 + 1;
    }
};

} // namespace marjorampath
