#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/endpoint_usage.hpp>
#include <marjorampath/peer/engine_status.hpp>
#include <marjorampath/suspect/conviction.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// Where a host is reached by other hosts.
struct peer_address
{
    /// IPv4 address as a number in host byte order.
    std::uint32_t address = 0;
    /// Port.
    std::uint16_t port = 0;

    friend auto operator<=>(peer_address const&, peer_address const&) = default;
};

/// A host as another one knows it.
struct peer_mention
{
    /// The host.
    host_id host;
    /// Its incarnation.
    std::uint64_t incarnation = 0;
    /// Where it is reached.
    peer_address address;
};

/// What a host tells each other host a few times a second.
struct peer_heartbeat
{
    /// The sender.
    host_id host;
    /// Its zone.
    zone_id zone;
    /// Start of its process in wall-clock milliseconds.
    std::uint64_t incarnation = 0;
    /// Where it is reached.
    peer_address address;
    /// Whether it is shutting down.
    bool leaving = false;
    /// Whether its process is about to end.
    bool gone = false;
    /// Revision of what it knows of the operator; zero for nothing.
    std::uint64_t operator_revision = 0;
    /// Revision of its last listing of endpoints.
    std::uint64_t listing_revision = 0;
    /// Age of that listing.
    duration listing_age{0};
    /// Adapters on their way to engines whose leases it holds.
    std::uint32_t transit = 0;
    /// Some of the hosts that it knows, the receiver among them.
    std::vector<peer_mention> mentions;
    /// Engines whose leases it holds.
    std::vector<engine_status> engines;
    /// What it has in flight at engines whose lease the receiver holds, and at plain
    /// endpoints.
    std::vector<endpoint_usage> usage;
    /// Contents of requests that were in flight when endpoints died.
    std::vector<conviction> convictions;
};

} // namespace marjorampath
