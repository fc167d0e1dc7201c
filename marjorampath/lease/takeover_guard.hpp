#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/lease/grant_list.hpp>
#include <marjorampath/lease/grant_recall.hpp>
#include <marjorampath/membership/known_host.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace marjorampath
{

/// Settings of a `takeover_guard`.
struct takeover_options
{
    /// Longest time for which a granted request may still run.
    duration longest_deadline = std::chrono::minutes(2);
    /// Interval at which the recall is sent again to hosts that have not answered.
    duration resend_interval = std::chrono::milliseconds(200);
};

/// Keeps a cell's new owner from evicting adapters that requests may still use.
///
/// Eviction is allowed once every known host has registered its grants in the cell, or
/// once the longest deadline has passed since this host became owner. A host that is gone
/// still has to be waited for, because the requests that it sent may still be running.
class takeover_guard
{
public:
    /// Creates a guard for an owner whose tenure begins now.
    takeover_guard(resource_id cell, host_id owner, std::uint64_t fencing_number,
                   takeover_options options, time_point now);

    /// Adds the hosts known now and removes none. Hosts added later have to register as
    /// well.
    void add_hosts(std::span<known_host const> hosts);

    /// Records that a host has sent its grants. Returns false if the list is for another
    /// cell or fencing number.
    bool on_grant_list(grant_list const& list);

    /// Returns the hosts to send `recall()` to and schedules the next resend. Empty until
    /// that is due, and once `longest_deadline` has passed since the tenure began.
    std::vector<host_id> take_hosts_to_query(time_point now);

    /// The request for a host's grants.
    [[nodiscard]] grant_recall recall() const noexcept;

    /// Whether adapters may be evicted.
    [[nodiscard]] bool may_evict(time_point now) const noexcept;

    /// Number of hosts that have not registered yet.
    [[nodiscard]] std::size_t unregistered_hosts() const noexcept;

private:
    resource_id cell_;
    // This host
    host_id owner_;
    // Fencing number of the owner
    std::uint64_t fencing_number_;
    // Settings
    takeover_options options_;
    // Start of the owner's tenure
    time_point started_;
    // Time at which `recall()` is next sent
    time_point next_query_;
    // Whether each known host has registered
    std::map<host_id, bool> registered_;
};

} // namespace marjorampath
