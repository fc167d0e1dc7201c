#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/peer/relay_choice.hpp>

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace marjorampath
{

namespace
{

// Listings whose ages differ by at most this are equivalent. With a smaller tolerance
// most hosts read from the few that read the store, whose links are too slow for that.
constexpr duration listing_age_tolerance = std::chrono::milliseconds(800);

duration effective_listing_age(peer_heartbeat const& heartbeat, relay_query const& own)
{
    return heartbeat.zone == own.zone ? heartbeat.listing_age
                                      : heartbeat.listing_age + own.other_zone_penalty;
}

// Whether a host's listing is newer, or was the newest one at a later time. A little
// younger is not worth a read
bool is_newer_listing(peer_heartbeat const& heartbeat, relay_query const& own)
{
    if (heartbeat.listing_position != own.listing_position)
        return heartbeat.listing_position > own.listing_position;
    return own.listing_position != store_position{} &&
           effective_listing_age(heartbeat, own) + listing_age_tolerance <
               own.listing_age;
}

// Whether a host has changes of the operator that this one lacks, or kept a newer
// configuration when the store was restored
bool has_newer_operator_data(peer_heartbeat const& heartbeat, relay_query const& own)
{
    return heartbeat.operator_change > own.operator_change ||
           heartbeat.kept_configuration > own.configuration_version;
}

// Removes the candidates in other zones if there are any in this host's zone
void keep_same_zone(peer_table const& peers, relay_query const& own,
                    std::vector<host_id>& candidates)
{
    auto const is_same = [&](host_id host)
    { return peers.peers().at(host).last_heartbeat.zone == own.zone; };
    if (std::any_of(candidates.begin(), candidates.end(), is_same))
        std::erase_if(candidates, [&](host_id host) { return !is_same(host); });
}

// The candidates without those from which reads failed lately
std::vector<host_id> without_failed(peer_table const& peers, relay_query const& own,
                                    std::vector<host_id> candidates)
{
    auto const failed = [&](host_id host)
    {
        auto const& address = peers.peers().at(host).last_heartbeat.address;
        return std::find(own.failed_relays.begin(), own.failed_relays.end(), address) !=
               own.failed_relays.end();
    };
    std::erase_if(candidates, failed);
    return candidates;
}

// The address of the candidate that this host reads from, or nothing if there is none
std::optional<peer_address> choose_address(peer_table const& peers,
                                           relay_query const& own,
                                           std::vector<host_id> candidates)
{
    auto usable = without_failed(peers, own, candidates);
    if (!usable.empty())
        candidates = std::move(usable);
    keep_same_zone(peers, own, candidates);
    auto const chosen = rendezvous_choice(own.host, std::span<host_id const>(candidates));
    if (!chosen)
        return std::nullopt;
    return peers.peers().at(chosen).last_heartbeat.address;
}

} // namespace

relay_choice choose_relays(peer_table const& peers, relay_query const& own,
                           time_point now)
{
    std::vector<peer_heartbeat const*> responsive;
    for (auto const& [host, known] : peers.peers())
        if (peers.is_responsive(host, now))
            responsive.push_back(&known.last_heartbeat);

    store_position newest_operator_change;
    auto min_listing_age = duration::max();
    for (auto const* heartbeat : responsive)
    {
        if (has_newer_operator_data(*heartbeat, own))
            newest_operator_change =
                std::max(newest_operator_change, heartbeat->operator_change);
        if (is_newer_listing(*heartbeat, own))
            min_listing_age =
                std::min(min_listing_age, effective_listing_age(*heartbeat, own));
    }

    std::vector<host_id> newest_operator_hosts;
    std::vector<host_id> newer_operator_hosts;
    std::vector<host_id> listing_candidates;
    for (auto const* heartbeat : responsive)
    {
        if (has_newer_operator_data(*heartbeat, own))
        {
            newer_operator_hosts.push_back(heartbeat->host);
            if (heartbeat->operator_change == newest_operator_change)
                newest_operator_hosts.push_back(heartbeat->host);
        }
        if (is_newer_listing(*heartbeat, own) &&
            effective_listing_age(*heartbeat, own) - min_listing_age <=
                listing_age_tolerance)
            listing_candidates.push_back(heartbeat->host);
    }
    auto const newest_failed = without_failed(peers, own, newest_operator_hosts).empty();
    return {.operator_update = choose_address(
                peers, own, newest_failed ? newer_operator_hosts : newest_operator_hosts),
            .listing = choose_address(peers, own, listing_candidates)};
}

} // namespace marjorampath
