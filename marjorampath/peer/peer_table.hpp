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

/// One other host, by its beats.
struct peer
{
    /// Its last last_heartbeat.
    peer_heartbeat last_heartbeat;
    /// When it came.
    time_point last_heartbeat_at;
    /// Whether its process has named this host's present incarnation.
    bool incarnations_exchanged = false;
};

/// A change of a host that others should hear of.
enum class peer_change : std::uint8_t
{
    /// Nothing worth spread_time.
    none,
    /// It is new, or heard again after a silence.
    appeared,
    /// Its process started again.
    restarted,
    /// It is shutting down.
    leaving,
    /// Its process ended.
    gone
};

/// Which hosts there are, found from a few addresses and by what hosts tell of others.
class peer_table
{
public:
    /// Makes a table that knows this host and the addresses to begin with.
    peer_table(peer_heartbeat self, std::vector<peer_address> const& seeds,
               peer_table_options options);

    /// Takes a last_heartbeat.
    peer_change on_heartbeat(peer_heartbeat last_heartbeat, time_point now);

    /// Forgets hosts that have been silent for long; returns hosts that have just become
    /// silent.
    std::vector<host_id> on_tick(time_point now);

    /// Where beats are sent to now: known hosts, and addresses that no host answered at.
    [[nodiscard]] std::vector<peer_address> targets(time_point now) const;

    /// Hosts to mention in a last_heartbeat to a host: the receiver, so that each knows
    /// what the other knows of it, and some others in turn, so that beats do not grow
    /// with the fleet. `to` is empty for an address where no host was heard yet.
    [[nodiscard]] std::vector<peer_mention> mentions(host_id to);

    /// Whether this host is one of those of its zone that read the store for the others.
    [[nodiscard]] bool is_reader(time_point now) const;

    /// All hosts as the lease machines see them: this one, those that were heard, and
    /// those that others told of. A new process must count the latter, too: an older host
    /// that is silent just now may still grant leases.
    [[nodiscard]] std::vector<known_host> known_hosts(time_point now) const;

    /// The hosts by identifier.
    [[nodiscard]] std::map<host_id, peer> const& peers() const noexcept
    {
        return peers_;
    }

    /// Hosts that are heard, this one included.
    [[nodiscard]] std::size_t responsive_hosts(time_point now) const;

    /// Whether a host is heard.
    [[nodiscard]] bool heard(host_id host, time_point now) const;

    /// The host at an address, or nothing.
    [[nodiscard]] std::optional<host_id> host_at(peer_address const& address) const;

    /// Time between two beats.
    [[nodiscard]] duration heartbeat_interval() const;

    /// This host's present incarnation. Rises where another host remembers a higher one.
    [[nodiscard]] std::uint64_t incarnation() const noexcept
    {
        return self_.incarnation;
    }

    /// Tells that this host is shutting down.
    void leave() noexcept
    {
        self_.leaving = true;
    }

private:
    // Time without a last_heartbeat after which a host counts as silent
    [[nodiscard]] duration silence() const;

    // This host
    peer_heartbeat self_;
    // Addresses to begin with, and ones that were mentioned
    std::map<peer_address, time_point> addresses_;
    // Settings
    peer_table_options options_;
    // Other hosts that were heard
    std::map<host_id, peer> peers_;
    // Hosts that others told of and that were not heard yet, and when they are forgotten
    std::map<host_id, std::pair<peer_mention, time_point>> mentioned_hosts_;
    // Host that was mentioned last in turn
    host_id last_mentioned_;
    // Hosts that were reported as silent
    std::set<host_id> reported_silent_;
};

} // namespace marjorampath
