#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/peer/relay_choice.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

// Listings whose ages differ by less are as good as each other: half of the time between
// two reads of the store
constexpr duration same_age = std::chrono::milliseconds(400);

// One that every host may be asked by as probably as any other
std::uint64_t weight(relay_question const& own, host_id peer)
{
    return rendezvous_weight(own.host, peer);
}

duration age_of(peer_beat const& beat, relay_question const& own)
{
    return beat.zone == own.zone ? beat.listing_age
                                 : beat.listing_age + own.other_zone_age;
}

} // namespace

relay_choice choose_relays(peer_table const& peers, relay_question const& own,
                           time_point now)
{
    auto newest = own.operator_revision;
    auto youngest = duration::max();
    for (auto const& [host, known] : peers.peers())
    {
        if (!peers.heard(host, now))
            continue;
        newest = std::max(newest, known.beat.operator_revision);
        if (known.beat.listing_revision > own.listing_revision)
            youngest = std::min(youngest, age_of(known.beat, own));
    }

    relay_choice choice;
    std::uint64_t news_weight = 0;
    std::uint64_t listing_weight = 0;
    for (auto const& [host, known] : peers.peers())
    {
        auto const& beat = known.beat;
        if (!peers.heard(host, now))
            continue;
        auto const own_weight = weight(own, host);
        if (newest > own.operator_revision && beat.operator_revision == newest &&
            own_weight >= news_weight)
        {
            news_weight = own_weight;
            choice.operator_news = beat.address;
        }
        if (beat.listing_revision > own.listing_revision &&
            age_of(beat, own) - youngest <= same_age && own_weight >= listing_weight)
        {
            listing_weight = own_weight;
            choice.listing = beat.address;
        }
    }
    return choice;
}

} // namespace marjorampath
