#include <marjorampath/core/hash.hpp>
#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/freshness/freshness_peer.hpp>
#include <marjorampath/peer/peer_table.hpp>

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace marjorampath
{

namespace
{

// Proofs whose ages differ by at most this are equivalent, so that not all hosts ask the
// few that read the store
constexpr duration age_tolerance = std::chrono::milliseconds(500);
// Least gain for which a host is asked
constexpr duration min_gain = std::chrono::milliseconds(200);

} // namespace

host_id choose_freshness_peer(peer_table const& peers, freshness_search const& search,
                              time_point now)
{
    std::vector<std::pair<duration, host_id>> found;
    for (auto const& [host, known] : peers.peers())
    {
        auto const& heartbeat = known.last_heartbeat;
        if (!heartbeat.configuration_age || !peers.is_responsive(host, now))
            continue;
        auto age = *heartbeat.configuration_age + (now - known.last_heartbeat_at);
        if (heartbeat.zone != search.zone)
            age += search.other_zone_penalty;
        auto const is_asked_anyway = search.urgent && heartbeat.zone == search.zone;
        if (!search.age || age + min_gain < *search.age || is_asked_anyway)
            found.emplace_back(age, host);
    }
    if (found.empty())
        return {};
    auto const newest = std::min_element(found.begin(), found.end())->first;
    std::vector<host_id> candidates;
    for (auto const& [age, host] : found)
        if (age <= newest + age_tolerance)
            candidates.push_back(host);
    auto const key = hash_combine(search.host.number(), search.number);
    return rendezvous_choice(host_id(key), std::span<host_id const>(candidates));
}

} // namespace marjorampath
