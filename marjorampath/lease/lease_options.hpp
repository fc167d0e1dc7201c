#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace marjorampath
{

/// Lease settings. They must be equal on all hosts of a region.
struct lease_options
{
    /// Time for which a witness grants a lease.
    duration term = std::chrono::milliseconds(1'500);
    /// Time by which the lease ends earlier at the holder than at the witness. It covers
    /// the difference in rate between two clocks during one term.
    duration clock_margin = std::chrono::milliseconds(75);
    /// Time between two renewals.
    duration renew_interval = std::chrono::milliseconds(500);
    /// Largest gap between two ticks. After a longer one the holder drops all leases.
    duration tick_gap = std::chrono::milliseconds(375);
    /// Time for which the conditions of `witness_activation` must have held before a host
    /// grants leases. Must not be below the term plus the clock margin.
    duration witness_activation_delay = std::chrono::milliseconds(3'000);
    /// Time for which a holder keeps a lease while another host is preferred, before it
    /// hands the lease over to that host.
    duration rebalance_delay = std::chrono::seconds(30);
    /// Zones of the region. Hosts of other zones cannot be witnesses, so the quorum is
    /// a majority of all hosts that can grant.
    std::vector<zone_id> zones;
    /// Number of witnesses per zone.
    std::uint32_t witnesses_per_zone = 1;
    /// Whether a host grants leases only after it has exchanged incarnations with the
    /// younger hosts of its zone too. Can be false if incarnations rise with each start:
    /// a younger host that knows of this one then grants no leases before the two have
    /// exchanged incarnations.
    bool wait_for_younger = true;
    /// Time for which a witness keeps an ended lease and its fencing number.
    duration retention = std::chrono::minutes(10);
    /// Largest number of resources that a witness keeps leases of.
    std::size_t max_resources = 65'536;

    /// Number of witnesses that have to grant a lease: a majority of all witness slots,
    /// whether or not a host fills them.
    [[nodiscard]] std::uint32_t quorum() const noexcept
    {
        auto const witness_slots =
            static_cast<std::uint32_t>(zones.size()) * witnesses_per_zone;
        return witness_slots / 2 + 1;
    }
};

} // namespace marjorampath
