#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/peer/forward_choice.hpp>
#include <marjorampath/peer/peer_table.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace marjorampath
{

namespace
{

// Hosts of the own zone among which requests are spread; with fewer, all zones are used
constexpr std::size_t min_hosts_of_zone = 2;

bool can_serve(peer_heartbeat const& known, forward_request const& request)
{
    auto const& unreached = known.unreached_services;
    return !known.leaving && !known.gone &&
           std::find(unreached.begin(), unreached.end(), request.service) ==
               unreached.end() &&
           std::find(request.tried.begin(), request.tried.end(), known.address) ==
               request.tried.end();
}

} // namespace

std::optional<peer_address> choose_forward_host(peer_table const& peers,
                                                forward_request const& request,
                                                time_point now)
{
    std::vector<host_id> all;
    std::vector<host_id> of_zone;
    for (auto const& [host, known] : peers.peers())
    {
        if (!peers.is_responsive(host, now) || !can_serve(known.last_heartbeat, request))
            continue;
        all.push_back(host);
        if (known.last_heartbeat.zone == request.zone)
            of_zone.push_back(host);
    }
    auto const& candidates = of_zone.size() >= min_hosts_of_zone ? of_zone : all;
    auto const chosen =
        rendezvous_choice(request.request, std::span<host_id const>(candidates));
    if (!chosen)
        return std::nullopt;
    return peers.peers().at(chosen).last_heartbeat.address;
}

} // namespace marjorampath
