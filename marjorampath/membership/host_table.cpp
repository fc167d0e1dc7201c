#include <marjorampath/gossip/message_size.hpp>
#include <marjorampath/membership/host_table.hpp>

#include <algorithm>
#include <bit>

namespace marjorampath
{

namespace
{

// Whether a record replaces the known one: compared by incarnation, counter and state
bool overrides(host_record const& claim, host_record const& known) noexcept
{
    if (claim.incarnation != known.incarnation)
        return claim.incarnation > known.incarnation;
    if (claim.counter != known.counter)
        return claim.counter > known.counter;
    return claim.state > known.state;
}

bool precedes(known_host const& known, host_id host) noexcept
{
    return known.record.host < host;
}

} // namespace

host_table::host_table(host_record self, membership_options options)
    : options_(options), self_(self)
{
    add(self_.host, self_.zone, self_.region);
    store_own_record();
    queue_for_gossip(self_.host);
}

known_host const* host_table::find(host_id host) const
{
    auto const position = std::lower_bound(hosts_.begin(), hosts_.end(), host, precedes);
    return position != hosts_.end() && position->record.host == host ? &*position
                                                                     : nullptr;
}

known_host* host_table::find_mutable(host_id host)
{
    auto const position = std::lower_bound(hosts_.begin(), hosts_.end(), host, precedes);
    return position != hosts_.end() && position->record.host == host ? &*position
                                                                     : nullptr;
}

known_host& host_table::add(host_id host, zone_id zone, region_id region)
{
    auto const position = std::lower_bound(hosts_.begin(), hosts_.end(), host, precedes);
    known_host added;
    added.record.host = host;
    added.record.zone = zone;
    added.record.region = region;
    states_[host] = {};
    return *hosts_.insert(position, added);
}

void host_table::store_own_record()
{
    ++revision_;
    auto& own = *find_mutable(self_.host);
    own.record = self_;
    own.incarnations_exchanged = true;
}

void host_table::on_host_list(time_point now, std::span<listed_host const> list,
                              membership_actions& actions)
{
    ++revision_;
    for (auto& host : hosts_)
        host.listed = false;
    for (auto const& entry : list)
    {
        if (entry.region != self_.region)
            continue;
        auto* known = find_mutable(entry.host);
        if (known == nullptr)
        {
            known = &add(entry.host, entry.zone, entry.region);
            actions.push_back(host_changed{.host = entry.host});
        }
        known->listed = true;
        known->listed_as_leaving = entry.leaving;
    }
    on_tick(now, actions);
}

void host_table::merge(time_point now, host_record const& record, duration suspicion,
                       membership_actions& actions)
{
    if (record.region != self_.region || record.incarnation == 0)
        return;
    if (record.host == self_.host)
        return refute(record, actions);

    auto* known = find_mutable(record.host);
    if (known == nullptr)
    {
        // A late update about a removed host must not add it again
        if (record.state == host_state::dead)
            return;
        known = &add(record.host, record.zone, record.region);
    }
    if (record.incarnation < known->record.incarnation)
        states_[record.host].has_outdated_claim = true;
    if (!overrides(record, known->record))
        return;

    auto const restarted =
        known->record.incarnation != 0 && known->record.incarnation != record.incarnation;
    auto const state = record.state;
    ++revision_;
    known->record.incarnation = record.incarnation;
    known->record.counter = record.counter;
    known->record.zone = record.zone;
    if (state == host_state::suspect)
        states_[record.host].dead_at = now + suspicion;
    change_state(*known, state, restarted, actions);
}

void host_table::refute(host_record const& claim, membership_actions& actions)
{
    if (claim.incarnation > self_.incarnation)
    {
        // From an earlier process of this host, whose clock was ahead
        self_.incarnation = claim.incarnation + 1;
        self_.counter = 0;
        reset_incarnation_exchanges();
        store_own_record();
        queue_for_gossip(self_.host);
        actions.push_back(own_incarnation_changed{.incarnation = self_.incarnation});
        return;
    }
    if (claim.incarnation != self_.incarnation || claim.counter < self_.counter)
        return;
    if (claim.state <= self_.state)
        return;
    self_.counter = claim.counter + 1;
    store_own_record();
    queue_for_gossip(self_.host);
}

void host_table::on_answer(time_point now, host_id host, bool incarnations_exchanged,
                           membership_actions& actions)
{
    auto* const known = find_mutable(host);
    if (known == nullptr)
        return;
    if (incarnations_exchanged && !known->incarnations_exchanged)
    {
        ++revision_;
        known->incarnations_exchanged = true;
    }

    // Ends the suspicion in this host's table; other hosts need the host's refutation
    if (known->record.state == host_state::suspect)
        change_state(*known, host_state::alive, false, actions);
    states_[host].gone_since.reset();
    static_cast<void>(now);
}

void host_table::suspect(time_point now, host_id host, duration suspicion,
                         membership_actions& actions)
{
    auto* const known = find_mutable(host);
    if (known == nullptr || known->record.state >= host_state::suspect)
        return;
    states_[host].dead_at = now + suspicion;
    change_state(*known, host_state::suspect, false, actions);
}

void host_table::on_tick(time_point now, membership_actions& actions)
{
    std::vector<host_id> expired;
    for (auto& host : hosts_)
    {
        auto& state = states_[host.record.host];
        if (host.record.state == host_state::suspect && state.dead_at <= now)
            change_state(host, host_state::dead, false, actions);
        if (!host.gone())
        {
            state.gone_since.reset();
            continue;
        }
        if (!state.gone_since)
            state.gone_since = now;
        if (now - *state.gone_since > options_.retention)
            expired.push_back(host.record.host);
    }
    for (auto const& host : expired)
    {
        ++revision_;
        states_.erase(host);
        std::erase_if(hosts_,
                      [&](auto const& known) { return known.record.host == host; });
    }
}

void host_table::change_state(known_host& host, host_state state, bool restarted,
                              membership_actions& actions)
{
    auto const changed = host.record.state != state || restarted;
    ++revision_;
    host.record.state = state;
    queue_for_gossip(host.record.host);
    if (changed)
        actions.push_back(host_changed{
            .host = host.record.host, .state = state, .restarted = restarted});
}

std::uint64_t host_table::highest_incarnation() const
{
    std::uint64_t highest = 0;
    for (auto const& host : hosts_)
        highest = std::max(highest, host.record.incarnation);
    return highest;
}

void host_table::renew_incarnation(membership_actions& actions)
{
    self_.incarnation = highest_incarnation() + 1;
    self_.counter = 0;
    reset_incarnation_exchanges();
    store_own_record();
    queue_for_gossip(self_.host);
    actions.push_back(own_incarnation_changed{.incarnation = self_.incarnation});
}

void host_table::raise_incarnation(membership_actions& actions)
{
    auto const highest = highest_incarnation();
    if (self_.incarnation == highest)
        return;
    self_.incarnation = highest + 1;
    reset_incarnation_exchanges();
    store_own_record();
    queue_for_gossip(self_.host);
    actions.push_back(own_incarnation_changed{.incarnation = self_.incarnation});
}

void host_table::reset_incarnation_exchanges()
{
    ++revision_;
    for (auto& host : hosts_)
        host.incarnations_exchanged = false;
}

void host_table::leave()
{
    self_.state = host_state::leaving;
    ++self_.counter;
    store_own_record();
    queue_for_gossip(self_.host);
}

void host_table::queue_for_gossip(host_id host)
{
    auto const count = static_cast<std::uint32_t>(hosts_.size());
    states_[host].sends_left = options_.spread_factor * std::bit_width(count);
}

std::vector<host_record> host_table::take_gossip_records(host_id receiver)
{
    std::vector<host_record> records;

    // A record that the receiver has to refute
    auto const* const known = find(receiver);
    if (known != nullptr && known->record.incarnation != 0 &&
        (known->record.state >= host_state::suspect ||
         states_[receiver].has_outdated_claim))
    {
        states_[receiver].has_outdated_claim = false;
        records.push_back(known->record);
    }

    std::vector<known_host const*> queued;
    for (auto const& host : hosts_)
    {
        auto const self = host.record.host == self_.host;
        if (!self && host.record.host != receiver && host.record.incarnation != 0 &&
            states_[host.record.host].sends_left > 0)
            queued.push_back(&host);
    }
    std::sort(queued.begin(), queued.end(),
              [&](auto const* left, auto const* right)
              {
                  auto const left_sends = states_[left->record.host].sends_left;
                  auto const right_sends = states_[right->record.host].sends_left;
                  return left_sends != right_sends
                             ? left_sends > right_sends
                             : left->record.host < right->record.host;
              });

    auto const max_records = options_.max_gossip_bytes / encoded_size(host_record{});
    for (auto const* host : queued)
    {
        if (records.size() >= max_records)
            break;
        --states_[host->record.host].sends_left;
        records.push_back(host->record);
    }
    return records;
}

} // namespace marjorampath
