#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/store_position.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace marjorampath
{

class peer_table;

/// The state of a host that reads the contents of the configuration store from relays,
/// which are other hosts with newer contents.
struct relay_query
{
    /// The host.
    host_id host;
    /// Its zone.
    zone_id zone;
    /// Last change of the operator that it has.
    store_position operator_change;
    /// The operator's version of the configuration that it has.
    std::uint64_t configuration_version = 0;
    /// Position of its endpoint listing.
    store_position listing_position;
    /// Age of that listing.
    duration listing_age{0};
    /// Age added to listings of hosts in other zones, for the higher latency.
    duration other_zone_penalty{0};
    /// Hosts from which reads failed lately; chosen only if there are no others.
    std::vector<peer_address> failed_relays;
};

/// Hosts that have newer contents of the store; unset if there are none.
struct relay_choice
{
    /// Host to read the newer configuration by the operator from.
    std::optional<peer_address> operator_update;
    /// Host to read the endpoint listing from.
    std::optional<peer_address> listing;
};

/// Chooses by rendezvous hashing, so that many hosts that need an update at once do not
/// all read it from the same host. Candidates are the hosts with the operator's newest
/// change, or with any newer one where all of those failed, and those with a newer
/// listing, or a younger one of the same position, whose age is close to the lowest; of
/// either only hosts of the same zone, if there are any.
relay_choice choose_relays(peer_table const& peers, relay_query const& own,
                           time_point now);

} // namespace marjorampath
