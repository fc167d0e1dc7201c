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
    /// The longest time that a granted request may still run.
    duration longest_deadline = std::chrono::minutes(2);
    /// Time after which a host that did not answer is asked again.
    duration resend = std::chrono::milliseconds(200);
};

/// Keeps a cell's new owner from evicting adapters that requests may still use.
///
/// Evicting is allowed once every host of the region has registered what it holds in the
/// cell, or has been silent since the start of the term for longer than the longest
/// deadline. A host that is certainly gone counts as silent: what it sent may run on.
class takeover_guard
{
public:
    /// Makes a guard of a term that begins now.
    takeover_guard(resource_id cell, host_id owner, std::uint64_t fencing_number,
                   takeover_options options, time_point now);

    /// Takes the hosts as known now. Hosts that become known later have to register too.
    void set_hosts(std::span<known_host const> hosts);

    /// Takes a host's registration; false where it is not for this term.
    bool on_grant_list(grant_list const& registration);

    /// The hosts to send `recall()` to now.
    std::vector<host_id> take_hosts_to_query(time_point now);

    /// The question to hosts.
    [[nodiscard]] grant_recall recall() const noexcept;

    /// Whether adapters may be evicted.
    [[nodiscard]] bool may_evict(time_point now) const noexcept;

    /// Number of hosts that did not register yet.
    [[nodiscard]] std::size_t missing() const noexcept;

private:
    // The cell
    resource_id cell_;
    // This host
    host_id owner_;
    // Fencing number of the term
    std::uint64_t fencing_number_;
    // Settings
    takeover_options options_;
    // Start of the term
    time_point started_;
    // Time of the next question
    time_point ask_at_;
    // Whether each known host registered
    std::map<host_id, bool> registered_;
};

} // namespace marjorampath
