#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/gossip/gossip.hpp>

#include <cstdint>

namespace marjorampath
{

/// Asks a host to probe a third one that the sender cannot reach.
struct indirect_probe
{
    /// Number at the sender; the reply repeats it.
    std::uint64_t sequence = 0;
    /// The sender, as it describes itself.
    host_record sender;
    /// Host that is to be probed.
    host_id subject;
    /// News.
    gossip news;
};

} // namespace marjorampath
