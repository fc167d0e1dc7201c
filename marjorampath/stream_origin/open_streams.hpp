#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/stream_origin/stream_origin.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace marjorampath
{

class peer_table;

/// The streams that a host forwards at present, with their origins.
///
/// Hosts remember origins in memory only. A host that has started again is told those
/// that it should remember, so that a restart of all hosts in turn loses none.
class open_streams
{
public:
    /// Adds a stream that has begun.
    void add(stream_origin const& origin);

    /// Removes a stream that has ended.
    void remove(stream_id stream);

    /// The origins that a host which has just appeared should remember: those for which
    /// it is one of the first `replicas` hosts of `choose_stream_replicas`.
    [[nodiscard]] std::vector<stream_origin> origins_for(host_id host,
                                                         peer_table const& peers,
                                                         std::size_t replicas,
                                                         time_point now) const;

private:
    // Software version by stream
    std::map<stream_id, std::string> streams_;
};

} // namespace marjorampath
