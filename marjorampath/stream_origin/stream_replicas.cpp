#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/stream_origin/stream_replicas.hpp>

#include <algorithm>
#include <span>

namespace marjorampath
{

std::vector<host_id> choose_stream_replicas(peer_table const& peers, stream_id stream,
                                            std::size_t count, time_point now)
{
    std::vector<host_id> hosts;
    for (auto const& [host, known] : peers.peers())
        if (peers.is_responsive(host, now))
            hosts.push_back(host);
    auto order = rendezvous_order(stream, std::span<host_id const>(hosts));
    order.resize(std::min(count, order.size()));
    return order;
}

} // namespace marjorampath
