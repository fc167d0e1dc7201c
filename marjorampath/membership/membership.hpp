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

/// Failure detection by random probes with suspicion (SWIM) that takes the host's own
/// slowness into account (Lifeguard).
template <std::uniform_random_bit_generator Random>
class membership
{
public:
    /// Makes a host that knows itself only.
    membership(host_record self, membership_options options, Random random)
        : options_(options), table_(self, options), random_(std::move(random))
    {
    }

    /// All that is known of hosts.
    [[nodiscard]] host_table const& table() const noexcept
    {
        return table_;
    }

    /// The local health score: zero is good.
    [[nodiscard]] std::uint32_t health_score() const noexcept
    {
        return health_score_;
    }

    /// Takes the host list, as often as it is read.
    void on_host_list(time_point now, std::span<listed_host const> list,
                      membership_actions& actions)
    {
        table_.on_host_list(now, list, actions);
    }

    /// Sends probes and ends those that were not answered. To be called at least every
    /// 50 ms.
    void on_tick(time_point now, membership_actions& actions)
    {
        auto const gap = last_tick_ ? now - *last_tick_ : duration{0};
        last_tick_ = now;

        // A paused process has not listened: it suspects nobody for that
        if (gap > options_.pause)
        {
            awaited_.clear();
            health_score_ = options_.max_health_score;
            table_postpone(now);
        }
        if (gap > options_.new_incarnation_pause)
            table_.renew_incarnation(actions);

        end_probes(now, actions);
        if (now >= next_forget_)
        {
            table_.on_tick(now, actions);
            next_forget_ = now + options_.probe_timeout;
        }
        if (now < next_probe_)
            return;
        next_probe_ = now + options_.period;
        ++periods_;
        probe_next(now, actions);
        introduce(now, actions);
        revive(now, actions);
        drop_old_relays(now);
    }

    /// Answers a probe.
    void on_probe(time_point now, probe const& message, membership_actions& actions)
    {
        take(now, message.sender, message.news, actions);

        // A probe for an earlier holder of the address is not this host's to answer
        if (message.target != table_.self().host)
            return;
        send_reply(message.sender.host, message.sequence, table_.self().host, actions);
    }

    /// Probes a host on behalf of another one.
    void on_indirect_probe(time_point now, indirect_probe const& message,
                           membership_actions& actions)
    {
        take(now, message.sender, message.news, actions);
        auto const sequence = send_probe_to(message.subject, actions);
        relays_.emplace(sequence, relay{.asker = message.sender.host,
                                        .sequence = message.sequence,
                                        .since = now});
    }

    /// Takes the reply to a probe of this host.
    void on_probe_reply(time_point now, probe_reply const& message,
                        membership_actions& actions)
    {
        take(now, message.sender, message.news, actions);
        auto const relayed = relays_.find(message.sequence);
        if (relayed != relays_.end())
        {
            send_reply(relayed->second.asker, relayed->second.sequence, message.subject,
                       actions);
            relays_.erase(relayed);
        }

        auto const found = awaited_.find(message.sequence);
        if (found == awaited_.end() || found->second.target != message.subject)
            return;
        auto const direct = message.sender.host == message.subject;
        auto const* const known = table_.find(message.subject);
        auto const incarnations_exchanged =
            direct && message.requester_incarnation == table_.self().incarnation &&
            known != nullptr && known->record.incarnation == message.sender.incarnation;
        awaited_.erase(found);
        table_.on_answer(now, message.subject, incarnations_exchanged, actions);
        if (health_score_ > 0)
            --health_score_;

        // The first answer tells how old the others are
        if (std::exchange(joined_, true))
            return;
        table_.join(actions);
    }

    /// Announces that this host is leaving.
    void leave()
    {
        table_.leave();
    }

private:
    struct awaited_reply
    {
        // Host probed
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
        // Host that asked for the probe
        host_id asker;
        // Its sequence number
        std::uint64_t sequence = 0;
        // Time at which it asked
        time_point since;
    };

    // A time, lengthened by the local health
    [[nodiscard]] duration scaled(duration length) const noexcept
    {
        return length * (health_score_ + 1);
    }

    // Gives suspects the whole time for their objection once more
    void table_postpone(time_point now)
    {
        membership_actions ignored;
        for (auto host : table_.hosts())
        {
            if (host.record.state == host_state::suspect)
                table_.on_answer(now, host.record.host, false, ignored);
        }
    }

    // Merges a message's records
    void take(time_point now, host_record const& sender, gossip const& news,
              membership_actions& actions)
    {
        table_.merge(now, sender, scaled(options_.suspicion), actions);
        for (auto const& record : news.hosts)
            table_.merge(now, record, scaled(options_.suspicion), actions);
    }

    // Sends a probe and gives its number
    std::uint64_t send_probe_to(host_id target, membership_actions& actions)
    {
        auto const sequence = ++sequence_;
        probe message;
        message.sequence = sequence;
        message.sender = table_.self();
        message.target = target;
        message.news.hosts = table_.take_news(target);
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
        auto const* const asker = table_.find(to);
        message.requester_incarnation = asker != nullptr ? asker->record.incarnation : 0;
        message.news.hosts = table_.take_news(to);
        actions.push_back(send_probe_reply{.to = to, .message = std::move(message)});
    }

    // Sends a probe whose reply is awaited
    void probe_host(time_point now, host_id target, membership_actions& actions)
    {
        auto const sequence = send_probe_to(target, actions);
        auto const indirect_at = now + scaled(options_.probe_timeout);
        awaited_.emplace(
            sequence,
            awaited_reply{.target = target,
                          .indirect_at = indirect_at,
                          .suspect_at = indirect_at + scaled(options_.indirect_timeout)});
    }

    // Probes the next host in a random order that holds each once
    void probe_next(time_point now, membership_actions& actions)
    {
        while (true)
        {
            if (order_.empty())
                refill_order();
            if (order_.empty())
                return;
            auto const target = order_.back();
            order_.pop_back();
            auto const* const known = table_.find(target);
            if (known != nullptr && known->record.state != host_state::dead)
                return probe_host(now, target, actions);
        }
    }

    void refill_order()
    {
        for (auto const& host : table_.hosts())
        {
            auto const self = host.record.host == table_.self().host;
            if (!self && host.record.state != host_state::dead)
                order_.push_back(host.record.host);
        }
        std::shuffle(order_.begin(), order_.end(), random_);
    }

    // Probes hosts of the own zone that are not incarnations_exchanged yet
    void introduce(time_point now, membership_actions& actions)
    {
        std::vector<host_id> strangers;
        for (auto const& host : table_.hosts())
        {
            if (!host.incarnations_exchanged && host.record.zone == table_.self().zone &&
                host.record.state != host_state::dead)
                strangers.push_back(host.record.host);
        }
        std::shuffle(strangers.begin(), strangers.end(), random_);
        if (strangers.size() > options_.incarnation_exchange_probes)
            strangers.resize(options_.incarnation_exchange_probes);
        for (auto const& host : strangers)
            probe_host(now, host, actions);
    }

    // Probes a dead host that is still listed, which may only have been cut off
    void revive(time_point now, membership_actions& actions)
    {
        if (periods_ % options_.dead_probe_periods != 0)
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

    // Sends indirect probes, then suspects
    void end_probes(time_point now, membership_actions& actions)
    {
        std::vector<std::uint64_t> failed;
        for (auto& [sequence, awaited] : awaited_)
        {
            if (!awaited.indirect_sent && now >= awaited.indirect_at)
            {
                awaited.indirect_sent = true;
                ask_others(sequence, awaited.target, actions);
            }
            if (now >= awaited.suspect_at)
                failed.push_back(sequence);
        }
        for (auto const& sequence : failed)
        {
            auto const target = awaited_.at(sequence).target;
            awaited_.erase(sequence);
            table_.suspect(now, target, scaled(options_.suspicion), actions);
            health_score_ = std::min(health_score_ + 1, options_.max_health_score);
        }
    }

    void ask_others(std::uint64_t sequence, host_id target, membership_actions& actions)
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
            message.news.hosts = table_.take_news(helper);
            actions.push_back(
                send_indirect_probe{.to = helper, .message = std::move(message)});
        }
    }

    void drop_old_relays(time_point now)
    {
        auto const limit = options_.probe_timeout + options_.indirect_timeout;
        std::erase_if(relays_, [&](auto const& entry)
                      { return entry.second.since + limit < now; });
    }

    // Settings
    membership_options options_;
    // What is known of hosts
    host_table table_;
    // Source of random numbers
    Random random_;
    // Probes not answered yet, by sequence number
    std::map<std::uint64_t, awaited_reply> awaited_;
    // Probes on behalf of others, by sequence number
    std::map<std::uint64_t, relay> relays_;
    // Hosts still to be probed in this round
    std::vector<host_id> order_;
    // Number of the latest probe
    std::uint64_t sequence_ = 0;
    // Number of periods so far
    std::uint64_t periods_ = 0;
    // Local health score
    std::uint32_t health_score_ = 0;
    // Time of the latest tick, nothing before the first
    std::optional<time_point> last_tick_;
    // Time of the next probe
    time_point next_probe_;
    // Time of the next look for suspects whose time is over
    time_point next_forget_;
    // Whether any host answered yet
    bool joined_ = false;
};

} // namespace marjorampath
