#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstddef>
#include <vector>

namespace marjorampath
{

class peer_table;

/// Other hosts that remember the origin of a stream, at most `count`, by rendezvous
/// hashing among those that answer. Any host finds mostly the same ones without messages.
std::vector<host_id> choose_stream_replicas(peer_table const& peers, stream_id stream,
                                            std::size_t count, time_point now);

} // namespace marjorampath
