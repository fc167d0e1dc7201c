#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>

#include <map>
#include <vector>

namespace marjorampath
{

/// Hosts from which reads of their view of the configuration store failed lately.
class relay_failures
{
public:
    /// Notes that a read from a host failed, or that the host was busy.
    void add(peer_address const& relay, time_point now)
    {
        until_[relay] = now + avoid_time;
    }

    /// Forgets the failures of a host, as after a read from it that succeeded.
    void remove(peer_address const& relay)
    {
        until_.erase(relay);
    }

    /// The hosts whose last read failed a short time ago.
    [[nodiscard]] std::vector<peer_address> recent(time_point now)
    {
        std::erase_if(until_, [&](auto const& entry) { return entry.second <= now; });
        std::vector<peer_address> found;
        for (auto const& [relay, until] : until_)
            found.push_back(relay);
        return found;
    }

private:
    // Time for which other hosts are preferred: a few attempts
    static constexpr duration avoid_time = std::chrono::milliseconds(1'000);

    // When each host is tried again
    std::map<peer_address, time_point> until_;
};

} // namespace marjorampath
