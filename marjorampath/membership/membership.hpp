#pragma once

#include <marjorampath/membership/host_table.hpp>
#include <marjorampath/membership/indirect_probe.hpp>
#include <marjorampath/membership/membership_action.hpp>
#include <marjorampath/membership/membership_options.hpp>
#include <marjorampath/membership/probe.hpp>
#include <marjorampath/membership/probe_reply.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

namespace marjorampath
{

/// Failure detector: random probes with suspicion (SWIM) whose timeouts grow when this
/// host itself is slow (Lifeguard).
template <std::uniform_random_bit_generator Random>
class membership
{
public:
    /// Makes a membership of this host alone.
    membership(host_record self, membership_options options, Random random)
        : options_(options), table_(self, options), random_(std::move(random))
    {
    }

    /// All known hosts.
    [[nodiscard]] host_table const& table() const noexcept
    {
        return table_;
    }

    /// The local health score: zero is healthy, higher values lengthen the timeouts.
    [[nodiscard]] std::uint32_t health_score() const noexcept
    {
        return health_score_;
    }

    /// Processes the host list; to be called after each read.
    void on_host_list(time_point now, std::span<listed_host const> list,
                      membership_actions& actions)
    {
        table_.on_host_list(now, list, actions);
    }

    /// Sends probes and handles probe timeouts. To be called at least every 50 ms.
    void on_tick(time_point now, membership_actions& actions)
    {
        auto const gap = last_tick_ ? now - *last_tick_ : duration{0};
        last_tick_ = now;

        // A paused process may have missed replies, so the timeouts prove nothing
        if (gap > options_.pause_threshold)
        {
            pending_probes_.clear();
            health_score_ = options_.max_health_score;
            clear_suspicions(now);
        }
        if (gap > options_.new_incarnation_pause)
            table_.renew_incarnation(actions);

        handle_timeouts(now, actions);
        if (now >= next_table_tick_)
        {
            table_.on_tick(now, actions);
            next_table_tick_ = now + options_.probe_timeout;
        }
        if (now < next_probe_)
            return;
        next_probe_ = now + options_.probe_period;
        ++period_count_;
        probe_next(now, actions);
        probe_unexchanged_hosts(now, actions);
        probe_dead_host(now, actions);
        drop_expired_relays(now);
    }

    /// Replies to a probe.
    void on_probe(time_point now, probe const& message, membership_actions& actions)
    {
        merge_message(now, message.sender, message.updates, actions);

        // The probe is for a host that used this address earlier, so it gets no reply
        if (message.target != table_.self().host)
            return;
        send_reply(message.sender.host, message.sequence, table_.self().host, actions);
    }

    /// Probes a host on behalf of another one.
    void on_indirect_probe(time_point now, indirect_probe const& message,
                           membership_actions& actions)
    {
        merge_message(now, message.sender, message.updates, actions);
        auto const sequence = send_probe_to(message.subject, actions);
        relays_.emplace(sequence, relay{.requester = message.sender.host,
                                        .sequence = message.sequence,
                                        .requested_at = now});
    }

    /// Processes the reply to a probe that this host sent.
    void on_probe_reply(time_point now, probe_reply const& message,
                        membership_actions& actions)
    {
        merge_message(now, message.sender, message.updates, actions);
        auto const relayed = relays_.find(message.sequence);
        if (relayed != relays_.end())
        {
            send_reply(relayed->second.requester, relayed->second.sequence,
                       message.subject, actions);
            relays_.erase(relayed);
        }

        auto const found = pending_probes_.find(message.sequence);
        if (found == pending_probes_.end() || found->second.target != message.subject)
            return;
        auto const direct = message.sender.host == message.subject;
        auto const* const known = table_.find(message.subject);
        auto const incarnations_exchanged =
            direct && message.requester_incarnation == table_.self().incarnation &&
            known != nullptr && known->record.incarnation == message.sender.incarnation;
        pending_probes_.erase(found);
        table_.on_answer(now, message.subject, incarnations_exchanged, actions);
        if (health_score_ > 0)
            --health_score_;

        // The first reply may carry incarnations above this host's
        if (std::exchange(joined_, true))
            return;
        table_.raise_incarnation(actions);
    }

    /// Announces that this host is leaving.
    void leave()
    {
        table_.leave();
    }

private:
    struct pending_probe
    {
        // Probed host
        host_id target;
        // Time at which indirect probes are sent
        time_point indirect_at;
        // Time at which the host is suspected
        time_point suspect_at;
        // Whether indirect probes were sent
        bool indirect_sent = false;
    };

    struct relay
    {
        // Host that requested the probe
        host_id requester;
        // Sequence number of its request
        std::uint64_t sequence = 0;
        // Time of its request
        time_point requested_at;
    };

    // Multiplies a timeout by the local health score plus one
    [[nodiscard]] duration scale_timeout(duration timeout) const noexcept
    {
        return timeout * (health_score_ + 1);
    }

    // Marks all suspects as alive again after a pause of this process; a host that is
    // unreachable is suspected anew by the next probes
    void clear_suspicions(time_point now)
    {
        membership_actions ignored;
        for (auto host : table_.hosts())
        {
            if (host.record.state == host_state::suspect)
                table_.on_answer(now, host.record.host, false, ignored);
        }
    }

    // Merges the records of a message
    void merge_message(time_point now, host_record const& sender, gossip const& updates,
                       membership_actions& actions)
    {
        table_.merge(now, sender, scale_timeout(options_.suspicion), actions);
        for (auto const& record : updates.hosts)
            table_.merge(now, record, scale_timeout(options_.suspicion), actions);
    }

    // Sends a probe and returns its sequence number
    std::uint64_t send_probe_to(host_id target, membership_actions& actions)
    {
        auto const sequence = ++sequence_;
        probe message;
        message.sequence = sequence;
        message.sender = table_.self();
        message.target = target;
        message.updates.hosts = table_.take_gossip_records(target);
        actions.push_back(send_probe{.to = target, .message = std::move(message)});
        return sequence;
    }

    void send_reply(host_id to, std::uint64_t sequence, host_id subject,
                    membership_actions& actions)
    {
        probe_reply message;
        message.sequence = sequence;
        message.sender = table_.self();
        message.subject = subject;
        auto const* const requester = table_.find(to);
        message.requester_incarnation =
            requester != nullptr ? requester->record.incarnation : 0;
        message.updates.hosts = table_.take_gossip_records(to);
        actions.push_back(send_probe_reply{.to = to, .message = std::move(message)});
    }

    // Sends a probe and suspects the target unless a reply arrives in time
    void probe_host(time_point now, host_id target, membership_actions& actions)
    {
        auto const sequence = send_probe_to(target, actions);
        auto const indirect_at = now + scale_timeout(options_.probe_timeout);
        pending_probes_.emplace(
            sequence,
            pending_probe{.target = target,
                          .indirect_at = indirect_at,
                          .suspect_at =
                              indirect_at + scale_timeout(options_.indirect_timeout)});
    }

    // Probes the next host of the round; each round probes every live host once, in
    // random order
    void probe_next(time_point now, membership_actions& actions)
    {
        while (true)
        {
            if (probe_order_.empty())
                refill_probe_order();
            if (probe_order_.empty())
                return;
            auto const target = probe_order_.back();
            probe_order_.pop_back();
            auto const* const known = table_.find(target);
            if (known != nullptr && known->record.state != host_state::dead)
                return probe_host(now, target, actions);
        }
    }

    void refill_probe_order()
    {
        for (auto const& host : table_.hosts())
        {
            auto const self = host.record.host == table_.self().host;
            if (!self && host.record.state != host_state::dead)
                probe_order_.push_back(host.record.host);
        }
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }

    // Probes a few random hosts of the own zone with which incarnations are not exchanged
    // yet
    void probe_unexchanged_hosts(time_point now, membership_actions& actions)
    {
        std::vector<host_id> unexchanged_hosts;
        for (auto const& host : table_.hosts())
        {
            if (!host.incarnations_exchanged && host.record.zone == table_.self().zone &&
                host.record.state != host_state::dead)
                unexchanged_hosts.push_back(host.record.host);
        }
        std::shuffle(unexchanged_hosts.begin(), unexchanged_hosts.end(), random_);
        if (unexchanged_hosts.size() > options_.incarnation_exchange_probes)
            unexchanged_hosts.resize(options_.incarnation_exchange_probes);
        for (auto const& host : unexchanged_hosts)
            probe_host(now, host, actions);
    }

    // Probes a dead host that is still listed, since it may have been unreachable
    // only for a time
    void probe_dead_host(time_point now, membership_actions& actions)
    {
        if (period_count_ % options_.dead_probe_periods != 0)
            return;
        std::vector<host_id> dead;
        for (auto const& host : table_.hosts())
        {
            if (host.listed && host.record.state == host_state::dead)
                dead.push_back(host.record.host);
        }
        if (dead.empty())
            return;
        std::shuffle(dead.begin(), dead.end(), random_);
        probe_host(now, dead.front(), actions);
    }

    // Sends indirect probes after the first timeout, suspects the host after the second
    void handle_timeouts(time_point now, membership_actions& actions)
    {
        std::vector<std::uint64_t> failed;
        for (auto& [sequence, pending] : pending_probes_)
        {
            if (!pending.indirect_sent && now >= pending.indirect_at)
            {
                pending.indirect_sent = true;
                send_indirect_probes(sequence, pending.target, actions);
            }
            if (now >= pending.suspect_at)
                failed.push_back(sequence);
        }
        for (auto const& sequence : failed)
        {
            auto const target = pending_probes_.at(sequence).target;
            pending_probes_.erase(sequence);
            table_.suspect(now, target, scale_timeout(options_.suspicion), actions);
            health_score_ = std::min(health_score_ + 1, options_.max_health_score);
        }
    }

    void send_indirect_probes(std::uint64_t sequence, host_id target,
                              membership_actions& actions)
    {
        std::vector<host_id> helpers;
        for (auto const& host : table_.hosts())
        {
            auto const self = host.record.host == table_.self().host;
            if (!self && host.record.host != target &&
                host.record.state <= host_state::leaving)
                helpers.push_back(host.record.host);
        }
        std::shuffle(helpers.begin(), helpers.end(), random_);
        if (helpers.size() > options_.indirect_probes)
            helpers.resize(options_.indirect_probes);
        for (auto const& helper : helpers)
        {
            indirect_probe message;
            message.sequence = sequence;
            message.sender = table_.self();
            message.subject = target;
            message.updates.hosts = table_.take_gossip_records(helper);
            actions.push_back(
                send_indirect_probe{.to = helper, .message = std::move(message)});
        }
    }

    void drop_expired_relays(time_point now)
    {
        auto const limit = options_.probe_timeout + options_.indirect_timeout;
        std::erase_if(relays_, [&](auto const& entry)
                      { return entry.second.requested_at + limit < now; });
    }

    membership_options options_;
    host_table table_;
    Random random_;
    // Probes without a reply so far, by sequence number
    std::map<std::uint64_t, pending_probe> pending_probes_;
    // Probes on behalf of others, by sequence number
    std::map<std::uint64_t, relay> relays_;
    // Hosts not yet probed in this round
    std::vector<host_id> probe_order_;
    // Sequence number of the latest probe
    std::uint64_t sequence_ = 0;
    // Number of periods so far
    std::uint64_t period_count_ = 0;
    // Local health score
    std::uint32_t health_score_ = 0;
    // Time of the latest tick, empty before the first
    std::optional<time_point> last_tick_;
    // Time of the next probe
    time_point next_probe_;
    // Time of the next check for suspects and hosts that expired
    time_point next_table_tick_;
    // Whether any host replied yet
    bool joined_ = false;
};

} // namespace marjorampath
