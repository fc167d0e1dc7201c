#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/key/key_home.hpp>

#include <algorithm>

namespace marjorampath
{

key_home::key_home(host_id self, resource_id shard, key_options options,
                   key_memory& memory, key_backup& backup)
    : self_(self), shard_(shard), options_(options), memory_(memory), backup_role_(backup)
{
}

void key_home::set_hosts(time_point now, std::span<known_host const> hosts,
                         key_actions& actions)
{
    auto const earlier = std::move(hosts_);
    hosts_.clear();
    for (auto const& host : hosts)
    {
        if (host.record.state != host_state::dead)
            hosts_.emplace(host.record.host, host);
    }
    if (phase_ == phase::idle)
        return;

    // What a process was running ends with it
    for (auto const& [host, known] : earlier)
    {
        auto const found = hosts_.find(host);
        auto const gone = found == hosts_.end();
        auto const before = known.record.incarnation;
        auto const restarted =
            !gone && before != 0 && found->second.record.incarnation != before;
        if (gone || restarted)
            forget_entry(now, host, before, actions);
        if ((gone || restarted) && host == backup_ && phase_ != phase::renumbering)
        {
            // A backup that is cut off must not pass for complete later
            phase_ = phase::renumbering;
            actions.push_back(raise_key_number{.shard = shard_});
        }
    }
}

void key_home::forget_entry(time_point now, host_id entry, std::uint64_t /*incarnation*/,
                            key_actions& actions)
{
    for (auto record : memory_.records_of(now, shard_))
    {
        if (record.entry != entry || record.state != key_state::running)
            continue;
        record.state = key_state::unknown;
        waiting_.erase(record.key);
        memory_.merge(now, shard_, record);
        send_copy(now, record, actions);
    }
}

void key_home::on_acquired(time_point now, wall_milliseconds wall,
                           std::uint64_t fencing_number, std::uint64_t previous_number,
                           key_actions& actions)
{
    auto const continued = phase_ != phase::idle && phase_ != phase::recovering;
    fencing_number_ = fencing_number;
    waiting_.clear();
    if (continued)
        return start_copying(now, actions);

    phase_ = phase::recovering;
    previous_number_ = previous_number;
    answered_.clear();
    overflowed_ = false;
    recovery_ends_ = now + options_.recovery_timeout;
    resend_at_ = now;
    on_tick(now, wall, actions);
}

void key_home::on_lost()
{
    phase_ = phase::idle;
    waiting_.clear();
    copying_.clear();
    backup_ = {};
}

void key_home::on_tick(time_point now, wall_milliseconds wall, key_actions& actions)
{
    if (phase_ == phase::recovering && now >= recovery_ends_)
        return end_recovery(now, wall,
                            previous_number_ == 0 && options_.trust_first_start, actions);
    if (phase_ == phase::recovering && now >= resend_at_)
    {
        resend_at_ = now + options_.resend;
        key_recovery_request const request{
            .shard = shard_, .home = self_, .fencing_number = fencing_number_};
        for (auto const& [host, known] : hosts_)
        {
            if (!answered_.contains(host))
                actions.push_back(send_key_message<key_recovery_request>{host, request});
        }
    }
    if (phase_ == phase::copying && now >= resend_at_)
        send_part(now, actions);
    if (phase_ != phase::active)
        return;

    // A home that started alone gets a backup as soon as there is a host
    if (!backup_ && choose_backup())
    {
        phase_ = phase::renumbering;
        actions.push_back(raise_key_number{.shard = shard_});
        return;
    }
    for (auto& [key, waiting] : waiting_)
    {
        if (now < waiting.resend_at)
            continue;
        waiting.resend_at = now + options_.resend;
        send_copy(now, waiting.record, actions);
    }
}

void key_home::on_recovery_reply(time_point now, wall_milliseconds wall,
                                 key_recovery_reply const& reply, key_actions& actions)
{
    if (phase_ != phase::recovering || reply.fencing_number != fencing_number_ ||
        reply.refused)
        return;
    answered_[reply.host] = true;
    for (auto const& record : reply.records)
        overflowed_ = !memory_.merge(now, shard_, record) || overflowed_;

    // A home that the asked witnesses forgot was the previous one
    if (reply.known_number < fencing_number_)
        previous_number_ = std::max(previous_number_, reply.known_number);
    if (reply.synced_number == 0 || reply.synced_number != previous_number_)
        return;
    gap_until_ = now + reply.gap.remaining;
    complete_from_ = reply.gap.complete_from;
    end_recovery(now, wall, true, actions);
}

void key_home::end_recovery(time_point now, wall_milliseconds wall, bool complete,
                            key_actions& actions)
{
    if (!complete || overflowed_)
    {
        gap_until_ = now + options_.lifetime;
        complete_from_ = wall + options_.key_time_error;
    }

    // Entry hosts that are gone will not report
    for (auto const& record : memory_.records_of(now, shard_))
    {
        if (record.state == key_state::running && !hosts_.contains(record.entry))
            forget_entry(now, record.entry, 0, actions);
    }
    start_copying(now, actions);
}

void key_home::start_copying(time_point now, key_actions& actions)
{
    // From the recovery on, this host itself holds all that it lets run
    backup_role_.set_synced(now, shard_, fencing_number_, gap(now));
    backup_ = choose_backup();
    if (!backup_)
    {
        if (options_.allow_alone)
            return activate();
        phase_ = phase::copying;
        resend_at_ = now + options_.resend;
        return;
    }
    phase_ = phase::copying;
    copying_ = memory_.records_of(now, shard_);
    part_ = 0;
    send_part(now, actions);
}

void key_home::send_part(time_point now, key_actions& actions)
{
    resend_at_ = now + options_.resend;
    if (!backup_)
        return start_copying(now, actions);
    auto const first = std::min(copying_.size(), part_ * options_.snapshot_records);
    auto const end = std::min(copying_.size(), first + options_.snapshot_records);
    key_snapshot part{.shard = shard_,
                      .home = self_,
                      .fencing_number = fencing_number_,
                      .part = part_,
                      .last = end == copying_.size(),
                      .gap = gap(now),
                      .records = {}};
    part.records.assign(copying_.begin() + static_cast<std::ptrdiff_t>(first),
                        copying_.begin() + static_cast<std::ptrdiff_t>(end));
    actions.push_back(send_key_message<key_snapshot>{backup_, std::move(part)});
}

void key_home::on_snapshot_reply(time_point now, key_snapshot_reply const& reply,
                                 key_actions& actions)
{
    if (phase_ != phase::copying || reply.backup != backup_ ||
        reply.fencing_number != fencing_number_ || reply.part != part_ || !reply.accepted)
        return;
    auto const last = (part_ + 1) * options_.snapshot_records >= copying_.size();
    if (last)
        return activate();
    ++part_;
    send_part(now, actions);
}

void key_home::activate()
{
    phase_ = phase::active;
    copying_.clear();
}

key_gap key_home::gap(time_point now) const
{
    return {.remaining = std::max(duration{0}, gap_until_ - now),
            .complete_from = complete_from_};
}

host_id key_home::choose_backup() const
{
    auto const own = hosts_.find(self_);
    auto const own_zone = own != hosts_.end() ? own->second.record.zone : zone_id{};
    std::vector<host_id> elsewhere;
    std::vector<host_id> others;
    for (auto const& [host, known] : hosts_)
    {
        if (host == self_ || !known.eligible())
            continue;
        others.push_back(host);
        if (known.record.zone != own_zone)
            elsewhere.push_back(host);
    }
    auto const& candidates = elsewhere.empty() ? others : elsewhere;
    return rendezvous_choice<resource_tag, host_tag>(shard_, candidates);
}

void key_home::answer(key_begin const& begin, key_verdict verdict, std::string text,
                      std::uint32_t attempt, key_actions& actions) const
{
    actions.push_back(send_key_message<key_begin_reply>{
        begin.entry, key_begin_reply{.shard = begin.shard,
                                     .key = begin.key,
                                     .request = begin.request,
                                     .attempt = attempt,
                                     .verdict = verdict,
                                     .answer = std::move(text),
                                     .home = {},
                                     .backup = backup_,
                                     .fencing_number = fencing_number_}});
}

void key_home::on_begin(time_point now, std::optional<std::uint64_t> order,
                        key_begin const& begin, key_actions& actions)
{
    if (!order && phase_ != phase::renumbering)
        return answer(begin, key_verdict::not_home, {}, 0, actions);
    if (phase_ != phase::active || order != fencing_number_)
        return answer(begin, key_verdict::unavailable, {}, 0, actions);

    auto const* const known = memory_.find(now, shard_, begin.key);
    if (known != nullptr)
        return judge_known(now, begin, *known, actions);
    if (may_be_lost(now, begin))
        return answer(begin, key_verdict::unknown, {}, 0, actions);
    start_attempt(now, begin, 1, actions);
}

bool key_home::may_be_lost(time_point now, key_begin const& begin) const
{
    if (gap_until_ <= now)
        return false;
    return !begin.key_time || *begin.key_time < complete_from_;
}

void key_home::judge_known(time_point now, key_begin const& begin,
                           key_record const& known, key_actions& actions)
{
    if (known.fingerprint != begin.fingerprint)
        return answer(begin, key_verdict::mismatch, {}, 0, actions);
    switch (known.state)
    {
    case key_state::answered:
        return answer(begin, key_verdict::replay, known.answer, known.attempt, actions);
    case key_state::unknown:
        return answer(begin, key_verdict::unknown, {}, 0, actions);
    case key_state::not_run:
        // An attempt that was given up cannot start any more
        if (known.request == begin.request)
            return answer(begin, key_verdict::unavailable, {}, 0, actions);
        return start_attempt(now, begin, known.attempt + 1, actions);
    case key_state::running:
        break;
    }

    // The same attempt asks again because it got no answer
    if (known.request != begin.request || known.entry != begin.entry)
        return answer(begin, key_verdict::in_progress, {}, 0, actions);
    if (!waiting_.contains(begin.key))
        answer(begin, key_verdict::run, {}, known.attempt, actions);
}

void key_home::start_attempt(time_point now, key_begin const& begin,
                             std::uint32_t attempt, key_actions& actions)
{
    key_record const record{.key = begin.key,
                            .fingerprint = begin.fingerprint,
                            .request = begin.request,
                            .attempt = attempt,
                            .entry = begin.entry,
                            .state = key_state::running,
                            .key_time = begin.key_time,
                            .answer = {},
                            .age = duration{0}};
    if (!memory_.merge(now, shard_, record))
        return answer(begin, key_verdict::unavailable, {}, 0, actions);
    if (!backup_)
        return answer(begin, key_verdict::run, {}, attempt, actions);
    waiting_[begin.key] = {.record = record, .resend_at = now + options_.resend};
    send_copy(now, record, actions);
}

void key_home::send_copy(time_point now, key_record const& record,
                         key_actions& actions) const
{
    static_cast<void>(now);
    if (!backup_ || phase_ != phase::active)
        return;
    actions.push_back(
        send_key_message<key_copy>{backup_, key_copy{.shard = shard_,
                                                     .home = self_,
                                                     .fencing_number = fencing_number_,
                                                     .record = record}});
}

void key_home::on_copy_reply(time_point now, std::optional<std::uint64_t> order,
                             key_copy_reply const& reply, key_actions& actions)
{
    static_cast<void>(now);
    auto const found = waiting_.find(reply.key);
    if (found == waiting_.end() || found->second.record.request != reply.request ||
        reply.backup != backup_ || !reply.accepted)
        return;

    // The lease must still be held at the moment of the answer
    if (phase_ != phase::active || order != fencing_number_)
        return;
    auto const record = found->second.record;
    waiting_.erase(found);
    key_begin begin;
    begin.shard = shard_;
    begin.key = record.key;
    begin.request = record.request;
    begin.entry = record.entry;
    answer(begin, key_verdict::run, {}, record.attempt, actions);
}

void key_home::on_complete(time_point now, std::optional<std::uint64_t> order,
                           key_complete const& complete, key_actions& actions)
{
    auto const accepted = order && order == fencing_number_ && phase_ == phase::active;
    auto const* const known = memory_.find(now, shard_, complete.key);
    if (accepted && known != nullptr && known->request == complete.request)
    {
        auto record = *known;
        record.state = complete.state;
        record.answer = complete.answer;
        waiting_.erase(complete.key);
        memory_.merge(now, shard_, record);
        send_copy(now, record, actions);
    }
    actions.push_back(send_key_message<key_complete_reply>{
        complete.entry, key_complete_reply{.shard = shard_,
                                           .key = complete.key,
                                           .request = complete.request,
                                           .accepted = accepted}});
}

} // namespace marjorampath
