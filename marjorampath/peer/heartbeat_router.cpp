#include <marjorampath/core/hash.hpp>
#include <marjorampath/peer/heartbeat_groups.hpp>
#include <marjorampath/peer/heartbeat_router.hpp>
#include <marjorampath/peer/peer_table.hpp>

#include <utility>

namespace marjorampath
{

namespace
{

// Number of hosts of each zone that form groups, this host included
std::map<zone_id, std::size_t> count_zones(peer_table const& peers, zone_id own)
{
    std::map<zone_id, std::size_t> zones{{own, 1}};
    for (auto const& [id, known] : peers.peers())
        if (known.last_heartbeat.passes_on)
            ++zones[known.last_heartbeat.zone];
    return zones;
}

} // namespace

bool heartbeat_router::introduce(host_id host, std::uint64_t incarnation)
{
    auto& known = introductions_[host];
    if (known.incarnation != incarnation)
        known = {.incarnation = incarnation};
    if (known.sent >= options_.introductions)
        return false;
    ++known.sent;
    return true;
}

std::vector<heartbeat_target> heartbeat_router::next_round(peer_table const& peers,
                                                           time_point now)
{
    ++round_;
    std::erase_if(introductions_, [&](auto const& entry)
                  { return !peers.peers().contains(entry.first); });
    std::vector<heartbeat_target> targets;
    for (auto const& address : peers.unknown_addresses())
        targets.push_back({.address = address});

    auto const grouped = peers.uses_groups();
    auto const zones = count_zones(peers, zone_);
    auto const fleet_hosts = peers.grouped_hosts();
    auto const group_of = [&](host_id host, zone_id zone)
    { return heartbeat_group_of(host, zone, zones.at(zone), fleet_hosts); };
    auto const own_group = group_of(self_, zone_);
    std::map<heartbeat_group, std::vector<heartbeat_target>> others;
    std::map<heartbeat_group, std::vector<heartbeat_target>> silent;
    for (auto const& [id, known] : peers.peers())
    {
        auto const& heartbeat = known.last_heartbeat;
        heartbeat_target target{.address = heartbeat.address, .host = id};
        target.introduced = introduce(id, heartbeat.incarnation);
        if (!grouped || !heartbeat.passes_on)
        {
            targets.push_back(target);
            continue;
        }
        auto const group = group_of(id, heartbeat.zone);
        target.in_group = group == own_group;
        if (target.in_group || target.introduced)
            targets.push_back(target);
        else
            (peers.is_responsive(id, now) ? others : silent)[group].push_back(target);
    }

    // Hosts begin at different members, so that these have equal work
    auto const turn = round_ + hash_combine(self_.number(), 0);
    auto const choose = [&](std::vector<heartbeat_target> const& members)
    {
        targets.push_back(members[turn % members.size()]);
        targets.back().passes_on = true;
    };
    for (auto const& [group, members] : others)
        choose(members);

    // Silent hosts may only have been cut off
    for (auto const& [group, members] : silent)
        choose(members);
    return targets;
}

} // namespace marjorampath
