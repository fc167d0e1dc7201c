#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/gossip/gossip.hpp>

#include <cstdint>

namespace marjorampath
{

/// Asks a host whether it is alive, directly or on behalf of another host.
struct probe
{
    /// Number at the sender; the reply repeats it.
    std::uint64_t sequence = 0;
    /// The sender, as it describes itself.
    host_record sender;
    /// Host that is asked.
    host_id target;
    /// News.
    gossip news;
};

} // namespace marjorampath
