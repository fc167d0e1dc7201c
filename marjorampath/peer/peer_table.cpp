#include <marjorampath/peer/peer_table.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

peer_table::peer_table(peer_heartbeat self, std::vector<peer_address> const& seeds,
                       peer_table_options options)
    : self_(std::move(self)), options_(options)
{
    for (auto const& seed : seeds)
        if (seed != self_.address)
            addresses_.emplace(seed, time_point::max());
}

duration peer_table::heartbeat_interval() const
{
    auto const hosts = std::max(peers_.size(), options_.max_hosts_at_full_rate);
    return options_.heartbeat_interval * static_cast<std::int64_t>(hosts) /
           static_cast<std::int64_t>(options_.max_hosts_at_full_rate);
}

duration peer_table::silence() const
{
    return heartbeat_interval() * options_.max_missed_heartbeats;
}

peer_change peer_table::on_heartbeat(peer_heartbeat last_heartbeat, time_point now)
{
    if (last_heartbeat.host == self_.host)
        return peer_change::none;

    // Another host may remember a process of this host that had a later clock
    auto incarnations_exchanged = false;
    for (auto const& mention : last_heartbeat.mentions)
    {
        if (mention.host == self_.host)
        {
            if (mention.incarnation > self_.incarnation)
                self_.incarnation = mention.incarnation + 1;
            incarnations_exchanged = mention.incarnation == self_.incarnation;
        }
        else if (mention.address != self_.address)
        {
            addresses_.try_emplace(mention.address, now + options_.removal_delay);
            if (!peers_.contains(mention.host))
                mentioned_hosts_[mention.host] = {mention, now + options_.removal_delay};
        }
    }

    auto const found = peers_.find(last_heartbeat.host);
    if (found != peers_.end() &&
        last_heartbeat.incarnation < found->second.last_heartbeat.incarnation)
        return peer_change::none;
    auto change = peer_change::none;
    if (found == peers_.end() || reported_silent_.contains(last_heartbeat.host))
        change = peer_change::appeared;
    else if (last_heartbeat.incarnation > found->second.last_heartbeat.incarnation)
        change = peer_change::restarted;
    else if (last_heartbeat.leaving && !found->second.last_heartbeat.leaving)
        change = peer_change::leaving;
    if (last_heartbeat.gone)
        change = peer_change::gone;
    reported_silent_.erase(last_heartbeat.host);

    mentioned_hosts_.erase(last_heartbeat.host);
    auto& known = peers_[last_heartbeat.host];
    auto const same_process =
        known.last_heartbeat.incarnation == last_heartbeat.incarnation;
    known.incarnations_exchanged =
        incarnations_exchanged || (known.incarnations_exchanged && same_process);
    known.last_heartbeat_at = now;
    known.last_heartbeat = std::move(last_heartbeat);
    return change;
}

std::vector<host_id> peer_table::on_tick(time_point now)
{
    std::vector<host_id> lost;
    for (auto const& [id, known] : peers_)
        if (!known.last_heartbeat.gone && now - known.last_heartbeat_at > silence() &&
            reported_silent_.insert(id).second)
            lost.push_back(id);
    std::erase_if(
        peers_, [&](auto const& entry)
        { return now - entry.second.last_heartbeat_at > options_.removal_delay; });
    std::erase_if(reported_silent_, [&](host_id host) { return !peers_.contains(host); });
    std::erase_if(mentioned_hosts_,
                  [&](auto const& entry) { return entry.second.second < now; });
    std::erase_if(addresses_, [&](auto const& entry) { return entry.second < now; });
    return lost;
}

std::optional<host_id> peer_table::host_at(peer_address const& address) const
{
    for (auto const& [id, known] : peers_)
        if (known.last_heartbeat.address == address)
            return id;
    return std::nullopt;
}

std::vector<peer_address> peer_table::targets(time_point now) const
{
    std::vector<peer_address> found;
    for (auto const& [id, known] : peers_)
        if (now - known.last_heartbeat_at <= options_.removal_delay)
            found.push_back(known.last_heartbeat.address);
    for (auto const& [address, until] : addresses_)
        if (!host_at(address))
            found.push_back(address);
    return found;
}

std::vector<peer_mention> peer_table::mentions(host_id to)
{
    std::vector<peer_mention> found;
    auto const mention = [&](std::map<host_id, peer>::const_iterator each)
    {
        if (!each->second.last_heartbeat.gone)
            found.push_back({.host = each->first,
                             .incarnation = each->second.last_heartbeat.incarnation,
                             .address = each->second.last_heartbeat.address});
    };
    if (auto const receiver = peers_.find(to); receiver != peers_.end())
        mention(receiver);
    auto const turns = std::min(options_.mentions, peers_.size());
    for (std::size_t turn = 0; turn < turns; ++turn)
    {
        auto next = peers_.upper_bound(last_mentioned_);
        if (next == peers_.end())
            next = peers_.begin();
        last_mentioned_ = next->first;
        if (next->first != to)
            mention(next);
    }
    return found;
}

bool peer_table::is_reader(time_point now) const
{
    if (responsive_hosts(now) <= options_.max_hosts_without_relay)
        return true;
    auto const before =
        std::count_if(peers_.begin(), peers_.end(),
                      [&](auto const& entry)
                      {
                          auto const& last_heartbeat = entry.second.last_heartbeat;
                          return last_heartbeat.zone == self_.zone &&
                                 !last_heartbeat.leaving && entry.first < self_.host &&
                                 heard(entry.first, now);
                      });
    return static_cast<std::size_t>(before) < options_.readers_per_zone;
}

std::size_t peer_table::responsive_hosts(time_point now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(
                   peers_.begin(), peers_.end(),
                   [&](auto const& entry) { return heard(entry.first, now); }));
}

bool peer_table::heard(host_id host, time_point now) const
{
    auto const found = peers_.find(host);
    return found != peers_.end() && !found->second.last_heartbeat.gone &&
           now - found->second.last_heartbeat_at <= silence();
}

std::vector<known_host> peer_table::known_hosts(time_point now) const
{
    std::vector<known_host> found;
    found.push_back(
        {.record = {.host = self_.host,
                    .zone = self_.zone,
                    .region = {},
                    .incarnation = self_.incarnation,
                    .counter = 0,
                    .state = self_.leaving ? host_state::leaving : host_state::alive},
         .listed = true,
         .listed_as_leaving = false,
         .incarnations_exchanged = true});
    for (auto const& [id, known] : peers_)
    {
        auto state = host_state::alive;
        if (known.last_heartbeat.gone)
            state = host_state::dead;
        else if (now - known.last_heartbeat_at > silence())
            state = host_state::suspect;
        else if (known.last_heartbeat.leaving)
            state = host_state::leaving;
        found.push_back({.record = {.host = id,
                                    .zone = known.last_heartbeat.zone,
                                    .region = {},
                                    .incarnation = known.last_heartbeat.incarnation,
                                    .counter = 0,
                                    .state = state},
                         .listed = !known.last_heartbeat.gone,
                         .listed_as_leaving = known.last_heartbeat.leaving,
                         .incarnations_exchanged = known.incarnations_exchanged});
    }
    for (auto const& [id, told] : mentioned_hosts_)
        found.push_back({.record = {.host = id,
                                    .zone = {},
                                    .region = {},
                                    .incarnation = told.first.incarnation,
                                    .counter = 0,
                                    .state = host_state::suspect},
                         .listed = true,
                         .listed_as_leaving = false,
                         .incarnations_exchanged = false});
    return found;
}

} // namespace marjorampath
