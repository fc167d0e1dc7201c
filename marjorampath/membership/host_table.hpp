#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/membership/known_host.hpp>
#include <marjorampath/membership/listed_host.hpp>
#include <marjorampath/membership/membership_action.hpp>
#include <marjorampath/membership/membership_options.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace marjorampath
{

/// The hosts of one region as known to one host, merged from the host list, gossip and
/// its own probes. Includes the host's own record.
class host_table
{
public:
    /// Makes a table that holds the host itself only. The incarnation of `self` is the
    /// wall-clock time of the process start in milliseconds.
    host_table(host_record self, membership_options options);

    /// The host's own record.
    [[nodiscard]] host_record const& self() const noexcept
    {
        return self_;
    }

    /// All known hosts including this one, ordered by identifier.
    [[nodiscard]] std::vector<known_host> const& hosts() const noexcept
    {
        return hosts_;
    }

    /// Increases with every change of `hosts()`, so that callers recompute derived data
    /// only when needed.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    /// The entry of a host, or null if it is unknown.
    [[nodiscard]] known_host const* find(host_id host) const;

    /// Processes the host list. Hosts of other regions are ignored.
    void on_host_list(time_point now, std::span<listed_host const> list,
                      membership_actions& actions);

    /// Merges a record received by gossip or from the host that it describes. A suspect
    /// is declared dead after `suspicion`.
    void merge(time_point now, host_record const& record, duration suspicion,
               membership_actions& actions);

    /// Processes the reply of a host to a probe of this host. Also called without a reply
    /// to end the suspicion of a host after a pause of this process.
    void on_answer(time_point now, host_id host, bool incarnations_exchanged,
                   membership_actions& actions);

    /// Marks a host that did not reply as suspect; it is declared dead after `suspicion`.
    void suspect(time_point now, host_id host, duration suspicion,
                 membership_actions& actions);

    /// Declares expired suspects dead and removes hosts that have been gone for longer
    /// than the retention time.
    void on_tick(time_point now, membership_actions& actions);

    /// Starts a new incarnation of this process, above every known incarnation.
    void renew_incarnation(membership_actions& actions);

    /// Raises this host's incarnation above every known one unless none is higher; called
    /// after the first reply.
    void raise_incarnation(membership_actions& actions);

    /// Marks this host as leaving. Other hosts learn this from its record, which each
    /// message carries as `sender`.
    void leave();

    /// Selects host records for one message and counts them as sent, the least often sent
    /// first. A record that `receiver` has to refute precedes all others.
    std::vector<host_record> take_gossip_records(host_id receiver);

private:
    struct member_state
    {
        // Number of messages in which the record is still to be sent
        std::uint32_t sends_left = 0;
        // Time at which a suspect is declared dead
        time_point dead_at;
        // Whether a record with an outdated incarnation of the host was received. The
        // next message to the host then carries the known record, and the flag is reset.
        bool has_outdated_claim = false;
        // Time since which the host has been gone
        std::optional<time_point> gone_since;
    };

    // Adds a host without a known incarnation
    known_host& add(host_id host, zone_id zone, region_id region);
    // The mutable entry of a host, or null if it is unknown
    known_host* find_mutable(host_id host);
    // Refutes a record about this host itself that others must not believe
    void refute(host_record const& claim, membership_actions& actions);
    // Requires a new exchange of incarnations with every host
    void reset_incarnation_exchanges();
    // Schedules a record for the full number of gossip messages
    void queue_for_gossip(host_id host);
    // Sets a state, queues the record for gossip and reports a change
    void change_state(known_host& host, host_state state, bool restarted,
                      membership_actions& actions);
    // Highest known incarnation, the own one included
    [[nodiscard]] std::uint64_t highest_incarnation() const;
    // Copies the own record into `hosts_`
    void store_own_record();

    membership_options options_;
    host_record self_;
    // Known hosts, ordered by identifier
    std::vector<known_host> hosts_;
    // Number of changes of hosts_ so far
    std::uint64_t revision_ = 0;
    // Gossip and suspicion state of each host in hosts_
    std::map<host_id, member_state> states_;
};

} // namespace marjorampath
