#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/relayed_heartbeat.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath
{

/// Heartbeats of hosts of other groups that this host passes on to its own group.
class heartbeat_relay
{
public:
    /// Settings.
    struct options
    {
        /// Most bytes that are passed on with one heartbeat, which must fit into a
        /// datagram with it.
        std::size_t max_bytes = 40'000;
    };

    /// Constructs a relay without heartbeats.
    explicit heartbeat_relay(options values) : options_(values) {}

    /// Keeps an encoded heartbeat until the next `take`; replaces an earlier one of the
    /// same host. One above the largest size is not kept.
    void add(host_id host, std::string_view message, time_point received_at);

    /// Returns and forgets the kept heartbeats, up to the largest size; the rest is left
    /// for the next time.
    std::vector<relayed_heartbeat> take(time_point now);

private:
    struct entry
    {
        std::string message;
        time_point received_at;
    };

    options options_;
    std::map<host_id, entry> kept_;
};

} // namespace marjorampath
