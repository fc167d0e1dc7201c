#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/rate_limit/permit_owner.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace marjorampath
{

permit_owner choose_permit_owner(peer_table const& peers, endpoint_id endpoint,
                                 time_point now)
{
    std::vector<host_id> alive;
    std::vector<host_id> leaving;
    std::size_t known = 0;
    for (auto const& host : peers.known_hosts(now))
    {
        auto const state = host.record.state;
        if (state == host_state::dead)
            continue;
        ++known;
        if (state == host_state::alive)
            alive.push_back(host.record.host);
        else if (state == host_state::leaving)
            leaving.push_back(host.record.host);
    }

    // Hosts that shut down still finish requests, but do not issue permits unless all do
    auto const answering = alive.size() + leaving.size();
    auto const& candidates = alive.empty() ? leaving : alive;
    return {.host = rendezvous_choice(endpoint, std::span<host_id const>(candidates)),
            .share = static_cast<double>(answering) / static_cast<double>(known)};
}

} // namespace marjorampath
