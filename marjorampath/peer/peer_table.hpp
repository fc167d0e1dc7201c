#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/membership/known_host.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>
#include <marjorampath/peer/peer_table_options.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace marjorampath
{

/// What is known of another host from its heartbeats.
struct peer
{
    /// Its last heartbeat.
    peer_heartbeat last_heartbeat;
    /// Time at which it was received.
    time_point last_heartbeat_at;
    /// Whether its current process has mentioned an incarnation of this host's current
    /// process.
    bool incarnations_exchanged = false;
};

/// A change in the state of a host.
enum class peer_change : std::uint8_t
{
    /// No change.
    none,
    /// The heartbeat is older than the last one and was ignored.
    ignored,
    /// It is new, or its heartbeats resumed.
    appeared,
    /// Its process restarted.
    restarted,
    /// It is shutting down.
    leaving,
    /// Its process is about to exit or has exited.
    gone
};

/// Discovers hosts from seed addresses and from the hosts that heartbeats mention, and
/// tracks which of them are alive.
class peer_table
{
public:
    /// Creates a table that knows this host and the seed addresses.
    peer_table(peer_heartbeat self, std::vector<peer_address> const& seeds,
               peer_table_options options);

    /// Processes a heartbeat that a host received from its sender at a time; returns the
    /// change of its sender.
    peer_change on_heartbeat(peer_heartbeat heartbeat, time_point received_at);

    /// Removes hosts that have been silent for `removal_delay`; returns the hosts that
    /// have just become silent.
    std::vector<host_id> on_tick(time_point now);

    /// Addresses to send heartbeats to: those of known hosts, also of gone ones until
    /// they are removed, and seed or mentioned addresses from which no heartbeat has
    /// arrived yet.
    [[nodiscard]] std::vector<peer_address> targets(time_point now) const;

    /// Seed and mentioned addresses from which no heartbeat has arrived yet.
    [[nodiscard]] std::vector<peer_address> unknown_addresses() const;

    /// Number of hosts whose builds pass heartbeats on, including this one.
    [[nodiscard]] std::size_t grouped_hosts() const noexcept
    {
        return grouped_hosts_;
    }

    /// Whether the fleet is so large that heartbeats are sent to groups of hosts.
    [[nodiscard]] bool uses_groups() const noexcept
    {
        return grouped_hosts_ > options_.max_hosts_at_full_rate + 1;
    }

    /// Hosts to mention in a heartbeat to `to`: the receiver, so that it learns which
    /// incarnation of it this host knows, and a few others in rotation, so that the size
    /// of heartbeats does not depend on the size of the fleet. `to` is empty for an
    /// address from which no heartbeat has arrived yet. A receiver that has just started
    /// gets more of them.
    [[nodiscard]] std::vector<peer_mention> mentions(host_id to, bool introduced = false);

    /// Whether this host is one of the hosts of its zone that read the configuration
    /// store themselves; the others get its contents from them.
    [[nodiscard]] bool is_reader(time_point now) const;

    /// All hosts for the lease state machines: this one, those that sent a heartbeat, and
    /// those that only others mentioned. The latter count towards the majority, too: they
    /// may grant leases although this host has not received a heartbeat from them.
    [[nodiscard]] std::vector<known_host> known_hosts(time_point now) const;

    /// The other hosts that sent a heartbeat, by identifier.
    [[nodiscard]] std::map<host_id, peer> const& peers() const noexcept
    {
        return peers_;
    }

    /// Number of hosts that are neither silent nor gone, including this one.
    [[nodiscard]] std::size_t responsive_hosts(time_point now) const;

    /// Number of hosts that share the fleet's limits: this one and all others that sent a
    /// heartbeat within `removal_delay`. Silent ones may only be cut off, and what lost
    /// ones used still counts.
    [[nodiscard]] std::size_t sharing_hosts() const noexcept
    {
        return 1 + peers_.size();
    }

    /// Number of hosts that others mention and that have sent no heartbeat yet.
    [[nodiscard]] std::size_t mentioned_hosts() const noexcept
    {
        return mentioned_hosts_.size();
    }

    /// Whether another host is known, not silent and not gone.
    [[nodiscard]] bool is_responsive(host_id host, time_point now) const;

    /// The host at an address, or nothing if no heartbeat has arrived from it.
    [[nodiscard]] std::optional<host_id> host_at(peer_address const& address) const;

    /// Time between two heartbeats to a host. Grows with the number of hosts.
    [[nodiscard]] duration heartbeat_interval() const;

    /// This host's current incarnation. Raised if another host remembers a higher one.
    [[nodiscard]] std::uint64_t incarnation() const noexcept
    {
        return self_.incarnation;
    }

    /// Marks this host as shutting down.
    void leave() noexcept
    {
        self_.leaving = true;
    }

private:
    // Time between two heartbeats of hosts that send them to every other host
    [[nodiscard]] duration direct_interval() const;
    // Time without a heartbeat after which a host counts as silent
    [[nodiscard]] duration silence_timeout(peer const& known) const;
    // Counts again the hosts that pass heartbeats on
    void count_grouped_hosts();

    // This host
    peer_heartbeat self_;
    // Seed and mentioned addresses, and when they are removed; seeds never are
    std::map<peer_address, time_point> addresses_;
    // Options
    peer_table_options options_;
    // Other hosts that sent a heartbeat
    std::map<host_id, peer> peers_;
    // Host at each address that heartbeats named
    std::map<peer_address, host_id> hosts_by_address_;
    // Hosts that pass heartbeats on, including this one
    std::size_t grouped_hosts_ = 1;
    // Hosts that were mentioned but sent no heartbeat yet, and when they are removed
    std::map<host_id, std::pair<peer_mention, time_point>> mentioned_hosts_;
    // Host that was mentioned last in the rotation
    host_id last_mentioned_;
    // Hosts that `on_tick` reported as silent
    std::set<host_id> reported_silent_;
};

} // namespace marjorampath
