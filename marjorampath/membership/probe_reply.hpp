#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/gossip/gossip.hpp>

#include <cstdint>

namespace marjorampath
{

/// Answers a `probe` or an `indirect_probe`.
struct probe_reply
{
    /// Number of the question.
    std::uint64_t sequence = 0;
    /// The sender, as it describes itself.
    host_record sender;
    /// The host that was found alive: the sender itself, or the subject of an
    /// `indirect_probe`.
    host_id subject;
    /// Incarnation of the asker by the sender's knowledge. Where it is not the asker's
    /// own, the two are not incarnations_exchanged.
    std::uint64_t requester_incarnation = 0;
    /// News.
    gossip news;
};

} // namespace marjorampath
