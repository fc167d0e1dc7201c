#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/stream_origin/open_streams.hpp>
#include <marjorampath/stream_origin/stream_replicas.hpp>

#include <algorithm>

namespace marjorampath
{

void open_streams::add(stream_origin const& origin)
{
    streams_[origin.stream] = origin.software_version;
}

void open_streams::remove(stream_id stream)
{
    streams_.erase(stream);
}

std::vector<stream_origin> open_streams::origins_for(host_id host,
                                                     peer_table const& peers,
                                                     std::size_t replicas,
                                                     time_point now) const
{
    std::vector<stream_origin> found;
    for (auto const& [stream, version] : streams_)
    {
        auto const hosts = choose_stream_replicas(peers, stream, replicas, now);
        if (std::find(hosts.begin(), hosts.end(), host) != hosts.end())
            found.push_back({.stream = stream, .software_version = version});
    }
    return found;
}

} // namespace marjorampath
