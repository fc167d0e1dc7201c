#include <marjorampath/core/hash.hpp>
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

heartbeat_router::receivers heartbeat_router::find_receivers(peer_table const& peers,
                                                             time_point now)
{
    auto const zones = count_zones(peers, zone_);
    auto const group_of = [&](host_id host, zone_id zone)
    { return heartbeat_group_of(host, zone, zones.at(zone), peers.grouped_hosts()); };
    auto const own_group = group_of(self_, zone_);
    receivers found;
    for (auto const& [id, known] : peers.peers())
    {
        auto const& heartbeat = known.last_heartbeat;
        heartbeat_target target{.address = heartbeat.address, .host = id};
        target.introduced = introduce(id, heartbeat.incarnation);
        if (!peers.uses_groups() || !heartbeat.passes_on)
        {
            found.direct.push_back(target);
            continue;
        }
        auto const group = group_of(id, heartbeat.zone);
        target.in_group = group == own_group;
        if (target.in_group || target.introduced)
            found.direct.push_back(target);
        else if (peers.is_responsive(id, now))
            found.responsive[group].push_back(target);
        else
            found.silent[group].push_back(target);
    }
    return found;
}

std::vector<heartbeat_target> heartbeat_router::next_round(peer_table const& peers,
                                                           time_point now)
{
    ++round_;
    std::erase_if(introductions_, [&](auto const& entry)
                  { return !peers.peers().contains(entry.first); });
    auto found = find_receivers(peers, now);
    auto targets = std::move(found.direct);
    for (auto const& address : peers.unknown_addresses())
        targets.push_back({.address = address});

    // Hosts begin at different members, so that these have equal work
    auto const turn = round_ + hash_combine(self_.number(), 0);
    for (auto const& [group, members] : found.responsive)
    {
        targets.push_back(members[turn % members.size()]);
        targets.back().passes_on = true;
    }

    // Silent hosts may only have been cut off. Where others of their group answer, they
    // get few heartbeats and pass none on: those of the whole fleet would go to one
    // member, which may be silent because its link is full
    for (auto const& [group, members] : found.silent)
    {
        auto const cut_off = !found.responsive.contains(group);
        auto const interval = cut_off ? 1 : options_.silent_interval;
        if (turn % interval != 0)
            continue;
        targets.push_back(members[turn / interval % members.size()]);
        targets.back().passes_on = cut_off;
    }
    return targets;
}

} // namespace marjorampath
