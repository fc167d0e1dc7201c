#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/key/key_action.hpp>
#include <marjorampath/key/key_backup.hpp>
#include <marjorampath/key/key_copy_reply.hpp>
#include <marjorampath/key/key_memory.hpp>
#include <marjorampath/key/key_options.hpp>
#include <marjorampath/key/key_recovery_reply.hpp>
#include <marjorampath/key/key_snapshot_reply.hpp>
#include <marjorampath/membership/known_host.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace marjorampath
{

/// The home of one shard of idempotency keys while this host holds the shard's lease.
///
/// It lets a key run only when its backup remembers that. A new home first learns what
/// the previous one let run: from the previous home itself, or from its backup. Where
/// both are lost, the home knows that it has a gap: it answers `unknown` for keys that it
/// has no record of, but for those whose own time is later than the loss.
class key_home
{
public:
    /// Where a home is on its way to take requests.
    enum class phase
    {
        /// The lease is not held.
        idle,
        /// Waiting for what other hosts remember.
        recovering,
        /// Sending all records to the backup.
        copying,
        /// Waiting for a higher fencing number, after the backup was lost.
        renumbering,
        /// Taking requests.
        active
    };

    /// Makes an idle home. `memory` and `backup` are this host's and must outlive it.
    key_home(host_id self, resource_id shard, key_options options, key_memory& memory,
             key_backup& backup);

    /// Takes the hosts as known now.
    void set_hosts(time_point now, std::span<known_host const> hosts,
                   key_actions& actions);

    /// The lease was acquired, or got a higher number. The numbers are those of
    /// `lease_acquired`.
    void on_acquired(time_point now, wall_milliseconds wall, std::uint64_t fencing_number,
                     std::uint64_t previous_number, key_actions& actions);

    /// The lease was lost.
    void on_lost();

    /// Sends again what was not acknowledged and ends the wait for other hosts.
    void on_tick(time_point now, wall_milliseconds wall, key_actions& actions);

    /// Decides about a request. `order` is `lease_holder::may_order` at this moment.
    void on_begin(time_point now, std::optional<std::uint64_t> order,
                  key_begin const& begin, key_actions& actions);

    /// Takes an entry host's report.
    void on_complete(time_point now, std::optional<std::uint64_t> order,
                     key_complete const& complete, key_actions& actions);

    /// Takes the backup's acknowledgement of a record.
    void on_copy_reply(time_point now, std::optional<std::uint64_t> order,
                       key_copy_reply const& reply, key_actions& actions);

    /// Takes the backup's acknowledgement of a part of all records.
    void on_snapshot_reply(time_point now, key_snapshot_reply const& reply,
                           key_actions& actions);

    /// Takes what a host remembers.
    void on_recovery_reply(time_point now, wall_milliseconds wall,
                           key_recovery_reply const& reply, key_actions& actions);

    /// Where the home is.
    [[nodiscard]] phase current_phase() const noexcept
    {
        return phase_;
    }

    /// Whether records may be missing.
    [[nodiscard]] bool has_gap(time_point now) const noexcept
    {
        return gap_until_ > now;
    }

private:
    struct waiting_verdict
    {
        // Record that the backup has to remember first
        key_record record;
        // Time of the next copy
        time_point resend_at;
    };

    // Ends the recovery; without the previous home's records there is a gap
    void end_recovery(time_point now, wall_milliseconds wall, bool complete,
                      key_actions& actions);
    // Chooses a backup and starts to copy all records to it
    void start_copying(time_point now, key_actions& actions);
    // Sends the next part of all records
    void send_part(time_point now, key_actions& actions);
    // Becomes ready for requests
    void activate();
    // Whether a key without record may have been lost
    [[nodiscard]] bool may_be_lost(time_point now, key_begin const& begin) const;
    // Starts a new attempt of a key
    void start_attempt(time_point now, key_begin const& begin, std::uint32_t attempt,
                       key_actions& actions);
    // Decides about a key that has a record
    void judge_known(time_point now, key_begin const& begin, key_record const& known,
                     key_actions& actions);
    // Answers an entry host
    void answer(key_begin const& begin, key_verdict verdict, std::string text,
                std::uint32_t attempt, key_actions& actions) const;
    // Copies a record to the backup
    void send_copy(time_point now, key_record const& record, key_actions& actions) const;
    // The host that should be the backup, empty for none
    [[nodiscard]] host_id choose_backup() const;
    // What this home does not know
    [[nodiscard]] key_gap gap(time_point now) const;
    // The attempts of an entry host that is gone have an unknown end
    void forget_entry(time_point now, host_id entry, std::uint64_t incarnation,
                      key_actions& actions);

    // This host
    host_id self_;
    // The shard
    resource_id shard_;
    // Settings
    key_options options_;
    // Records of this host
    key_memory& memory_;
    // This host's part as a backup
    key_backup& backup_role_;
    // Where the home is
    phase phase_ = phase::idle;
    // Fencing number of the lease
    std::uint64_t fencing_number_ = 0;
    // Fencing number of the previous home
    std::uint64_t previous_number_ = 0;
    // Other hosts of the region that answer, and their zones
    std::map<host_id, known_host> hosts_;
    // End of the wait for other hosts
    time_point recovery_ends_;
    // Time of the next message to those that did not answer
    time_point resend_at_;
    // Hosts that answered
    std::map<host_id, bool> answered_;
    // Whether a record did not fit into the memory
    bool overflowed_ = false;
    // Host that remembers all records beside this one, empty for none
    host_id backup_;
    // Records to be copied, and the part that is next
    std::vector<key_record> copying_;
    std::uint32_t part_ = 0;
    // Verdicts that wait for the backup, by key
    std::map<key_id, waiting_verdict> waiting_;
    // Time until which lost records may matter
    time_point gap_until_;
    // Keys that carry a later time are not among the lost ones
    wall_milliseconds complete_from_{0};
};

} // namespace marjorampath
