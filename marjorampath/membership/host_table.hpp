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

/// What one host knows of the hosts of its region, merged from the host list, gossip and
/// its own probes. It holds the host's own record as well.
class host_table
{
public:
    /// Makes a table that knows the host itself. The record's incarnation is the
    /// wall-clock time of its start in milliseconds.
    host_table(host_record self, membership_options options);

    /// The host's own record.
    [[nodiscard]] host_record const& self() const noexcept
    {
        return self_;
    }

    /// All known hosts, itself included, in the order of their identifiers.
    [[nodiscard]] std::vector<known_host> const& hosts() const noexcept
    {
        return hosts_;
    }

    /// Rises with every change of `hosts()`, so that what is derived is derived anew only
    /// then.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    /// A host of the table, or null.
    [[nodiscard]] known_host const* find(host_id host) const;

    /// Takes the host list. Hosts of other regions are ignored.
    void on_host_list(time_point now, std::span<listed_host const> list,
                      membership_actions& actions);

    /// Takes a record by gossip, or from its own host.
    void merge(time_point now, host_record const& record, duration suspicion,
               membership_actions& actions);

    /// Takes the reply of a host to a probe of this host itself.
    void on_answer(time_point now, host_id host, bool incarnations_exchanged,
                   membership_actions& actions);

    /// Suspects a host that did not reply.
    void suspect(time_point now, host_id host, duration suspicion,
                 membership_actions& actions);

    /// Declares suspects dead whose time is over and forgets hosts that are gone.
    void on_tick(time_point now, membership_actions& actions);

    /// Makes this process a new incarnation, younger than all that it knows.
    void renew_incarnation(membership_actions& actions);

    /// Makes this process younger than all that it knows, where it was not.
    void join(membership_actions& actions);

    /// Announces that this host is leaving.
    void leave();

    /// Host records for one message, the least often sent first. A record of `receiver`
    /// that it has to object to goes first.
    std::vector<host_record> take_news(host_id receiver);

private:
    struct member_state
    {
        // Number of messages that the record still goes into
        std::uint32_t sends_left = 0;
        // End of the suspicion
        time_point dead_at;
        // Whether the host was heard to claim an incarnation lower than one it had
        bool contradict = false;
        // Time since which the host has been gone
        std::optional<time_point> gone_since;
    };

    // Adds a host that nothing was heard of
    known_host& add(host_id host, zone_id zone, region_id region);
    // The host of the table to change, or null
    known_host* find_mutable(host_id host);
    // Objects to a claim about this host itself
    void object(host_record const& claim, membership_actions& actions);
    // Starts the acquaintance with every host again
    void forget_acquaintances();
    // Spreads a record anew
    void spread(host_id host);
    // Sets a state and tells of it
    void set_state(known_host& host, host_state state, bool restarted,
                   membership_actions& actions);
    // Largest incarnation known
    [[nodiscard]] std::uint64_t highest_incarnation() const;
    // Copies the own record to its place among the hosts
    void store_self();

    // Settings
    membership_options options_;
    // Own record
    host_record self_;
    // Known hosts, ordered by identifier
    std::vector<known_host> hosts_;
    // Number of the latest change
    std::uint64_t revision_ = 0;
    // What else is kept of each host
    std::map<host_id, member_state> states_;
};

} // namespace marjorampath
