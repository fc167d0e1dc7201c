#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>

#include <optional>
#include <span>

namespace marjorampath
{

class peer_table;

/// A request that this host cannot send to any endpoint itself.
struct forward_request
{
    request_id request;
    /// Service that must run it.
    service_id service;
    /// This host's zone.
    zone_id zone;
    /// Hosts that could not take it.
    std::span<peer_address const> tried;
};

/// Chooses the host that serves a request for this one: one that is alive, is not
/// shutting down and reaches the service. Hosts of the own zone go first if there are
/// several, so that a single one does not get all requests of another. Empty if there is
/// none.
std::optional<peer_address> choose_forward_host(peer_table const& peers,
                                                forward_request const& request,
                                                time_point now);

} // namespace marjorampath
