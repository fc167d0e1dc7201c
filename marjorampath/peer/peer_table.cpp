#include <marjorampath/peer/heartbeat_groups.hpp>
#include <marjorampath/peer/peer_table.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

namespace
{

// Whether a heartbeat was sent before the last one that is known of the same host
bool is_older(peer_heartbeat const& heartbeat, peer_heartbeat const& last)
{
    if (heartbeat.incarnation != last.incarnation)
        return heartbeat.incarnation < last.incarnation;
    return heartbeat.sequence != 0 && heartbeat.sequence <= last.sequence;
}

} // namespace

peer_table::peer_table(peer_heartbeat self, std::vector<peer_address> const& seeds,
                       peer_table_options options)
    : self_(std::move(self)), options_(options)
{
    for (auto const& seed : seeds)
        if (seed != self_.address)
            addresses_.emplace(seed, time_point::max());
}

duration peer_table::direct_interval() const
{
    auto const hosts = std::max(peers_.size(), options_.max_hosts_at_full_rate);
    return options_.heartbeat_interval * static_cast<std::int64_t>(hosts) /
           static_cast<std::int64_t>(options_.max_hosts_at_full_rate);
}

duration peer_table::heartbeat_interval() const
{
    if (!uses_groups())
        return direct_interval();
    auto const members = heartbeat_group_size(grouped_hosts_);
    auto const targets = members + grouped_hosts_ / members;
    return std::max<duration>(
        options_.heartbeat_interval,
        duration(std::chrono::seconds(1)) * static_cast<std::int64_t>(targets) /
            static_cast<std::int64_t>(options_.group_heartbeats_per_second));
}

duration peer_table::silence_timeout(peer const& known) const
{
    if (!known.last_heartbeat.passes_on || !uses_groups())
        return direct_interval() * options_.max_missed_heartbeats;
    return heartbeat_interval() * options_.max_missed_group_heartbeats;
}

void peer_table::count_grouped_hosts()
{
    grouped_hosts_ =
        1 + static_cast<std::size_t>(std::count_if(
                peers_.begin(), peers_.end(),
                [](auto const& entry) { return entry.second.last_heartbeat.passes_on; }));
}

peer_change peer_table::on_heartbeat(peer_heartbeat heartbeat, time_point received_at)
{
    if (heartbeat.host == self_.host)
        return peer_change::ignored;

    // Another host may remember an earlier process of this host whose clock was ahead
    auto knows_this_host = false;
    for (auto const& mention : heartbeat.mentions)
    {
        if (mention.host == self_.host)
        {
            if (mention.incarnation > self_.incarnation)
                self_.incarnation = mention.incarnation + 1;
            knows_this_host = mention.incarnation == self_.incarnation;
        }
        else if (mention.address != self_.address)
        {
            addresses_.try_emplace(mention.address, received_at + options_.removal_delay);
            if (!peers_.contains(mention.host))
                mentioned_hosts_[mention.host] = {mention,
                                                  received_at + options_.removal_delay};
        }
    }

    auto const found = peers_.find(heartbeat.host);
    if (found != peers_.end() && is_older(heartbeat, found->second.last_heartbeat))
        return peer_change::ignored;
    auto change = peer_change::none;
    if (found == peers_.end() || reported_silent_.contains(heartbeat.host))
        change = peer_change::appeared;
    else if (heartbeat.incarnation > found->second.last_heartbeat.incarnation)
        change = peer_change::restarted;
    else if (heartbeat.leaving && !found->second.last_heartbeat.leaving)
        change = peer_change::leaving;
    if (heartbeat.gone)
        change = peer_change::gone;
    reported_silent_.erase(heartbeat.host);

    mentioned_hosts_.erase(heartbeat.host);
    auto& known = peers_[heartbeat.host];
    auto const same_process = known.last_heartbeat.incarnation == heartbeat.incarnation;
    known.incarnations_exchanged =
        knows_this_host || (known.incarnations_exchanged && same_process);
    known.last_heartbeat_at = std::max(known.last_heartbeat_at, received_at);
    auto const regrouped = known.last_heartbeat.passes_on != heartbeat.passes_on;
    if (known.last_heartbeat.address != heartbeat.address)
        hosts_by_address_.erase(known.last_heartbeat.address);
    hosts_by_address_[heartbeat.address] = heartbeat.host;
    known.last_heartbeat = std::move(heartbeat);
    if (regrouped)
        count_grouped_hosts();
    return change;
}

std::vector<host_id> peer_table::on_tick(time_point now)
{
    std::vector<host_id> lost;
    for (auto const& [id, known] : peers_)
        if (!known.last_heartbeat.gone &&
            now - known.last_heartbeat_at > silence_timeout(known) &&
            reported_silent_.insert(id).second)
            lost.push_back(id);
    auto const removed = std::erase_if(
        peers_, [&](auto const& entry)
        { return now - entry.second.last_heartbeat_at > options_.removal_delay; });
    if (removed > 0)
    {
        std::erase_if(hosts_by_address_,
                      [&](auto const& entry) { return !peers_.contains(entry.second); });
        count_grouped_hosts();
    }
    std::erase_if(reported_silent_, [&](host_id host) { return !peers_.contains(host); });
    std::erase_if(mentioned_hosts_,
                  [&](auto const& entry) { return entry.second.second < now; });
    std::erase_if(addresses_, [&](auto const& entry) { return entry.second < now; });
    return lost;
}

std::optional<host_id> peer_table::host_at(peer_address const& address) const
{
    auto const found = hosts_by_address_.find(address);
    return found == hosts_by_address_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<peer_address> peer_table::unknown_addresses() const
{
    std::vector<peer_address> found;
    for (auto const& [address, until] : addresses_)
        if (!hosts_by_address_.contains(address))
            found.push_back(address);
    return found;
}

std::vector<peer_address> peer_table::targets(time_point now) const
{
    auto found = unknown_addresses();
    for (auto const& [id, known] : peers_)
        if (now - known.last_heartbeat_at <= options_.removal_delay)
            found.push_back(known.last_heartbeat.address);
    return found;
}

std::vector<peer_mention> peer_table::mentions(host_id to, bool introduced)
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
    auto const mention_count = std::min(
        introduced ? options_.introduction_mentions : options_.mentions, peers_.size());
    for (std::size_t index = 0; index < mention_count; ++index)
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
                          auto const& heartbeat = entry.second.last_heartbeat;
                          return heartbeat.zone == self_.zone && !heartbeat.leaving &&
                                 entry.first < self_.host &&
                                 is_responsive(entry.first, now);
                      });
    return static_cast<std::size_t>(before) < options_.readers_per_zone;
}

std::size_t peer_table::responsive_hosts(time_point now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(
                   peers_.begin(), peers_.end(),
                   [&](auto const& entry) { return is_responsive(entry.first, now); }));
}

bool peer_table::is_responsive(host_id host, time_point now) const
{
    auto const found = peers_.find(host);
    return found != peers_.end() && !found->second.last_heartbeat.gone &&
           now - found->second.last_heartbeat_at <= silence_timeout(found->second);
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
        else if (now - known.last_heartbeat_at > silence_timeout(known))
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
    for (auto const& [id, mention] : mentioned_hosts_)
        found.push_back({.record = {.host = id,
                                    .zone = {},
                                    .region = {},
                                    .incarnation = mention.first.incarnation,
                                    .counter = 0,
                                    .state = host_state::suspect},
                         .listed = true,
                         .listed_as_leaving = false,
                         .incarnations_exchanged = false});
    return found;
}

} // namespace marjorampath
