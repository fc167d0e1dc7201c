#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/peer/relay_choice.hpp>

#include <algorithm>
#include <span>
#include <vector>

namespace marjorampath
{

namespace
{

// Listings whose ages differ by less are as good as each other: half of the time between
// two reads of the store
constexpr duration same_age = std::chrono::milliseconds(400);

duration age_of(peer_heartbeat const& last_heartbeat, relay_query const& own)
{
    return last_heartbeat.zone == own.zone
               ? last_heartbeat.listing_age
               : last_heartbeat.listing_age + own.other_zone_penalty;
}

// The address of the one of some hosts that this host asks
std::optional<peer_address> choose(peer_table const& peers, relay_query const& own,
                                   std::vector<host_id> const& candidates)
{
    auto const chosen = rendezvous_choice(own.host, std::span<host_id const>(candidates));
    if (!chosen)
        return std::nullopt;
    return peers.peers().at(chosen).last_heartbeat.address;
}

} // namespace

relay_choice choose_relays(peer_table const& peers, relay_query const& own,
                           time_point now)
{
    std::vector<peer_heartbeat const*> heard;
    for (auto const& [host, known] : peers.peers())
        if (peers.heard(host, now))
            heard.push_back(&known.last_heartbeat);

    auto newest = own.operator_revision;
    auto youngest = duration::max();
    for (auto const* last_heartbeat : heard)
    {
        newest = std::max(newest, last_heartbeat->operator_revision);
        if (last_heartbeat->listing_revision > own.listing_revision)
            youngest = std::min(youngest, age_of(*last_heartbeat, own));
    }

    std::vector<host_id> with_news;
    std::vector<host_id> with_listing;
    for (auto const* last_heartbeat : heard)
    {
        if (newest > own.operator_revision && last_heartbeat->operator_revision == newest)
            with_news.push_back(last_heartbeat->host);
        if (last_heartbeat->listing_revision > own.listing_revision &&
            age_of(*last_heartbeat, own) - youngest <= same_age)
            with_listing.push_back(last_heartbeat->host);
    }
    return {.operator_update = choose(peers, own, with_news),
            .listing = choose(peers, own, with_listing)};
}

} // namespace marjorampath
