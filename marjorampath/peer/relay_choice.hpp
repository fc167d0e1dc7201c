#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>

#include <cstdint>
#include <optional>

namespace marjorampath
{

class peer_table;

/// What a host knows that may take another host's view of the store.
struct relay_query
{
    /// The host.
    host_id host;
    /// Its zone.
    zone_id zone;
    /// Revision of what it knows of the operator.
    std::uint64_t operator_revision = 0;
    /// Revision of its listing of endpoints.
    std::uint64_t listing_revision = 0;
    /// What the longer way from another zone counts, as age of a listing.
    duration other_zone_penalty{0};
};

/// Hosts whose view is newer; nothing where none is.
struct relay_choice
{
    /// Whom to ask for news of the operator.
    std::optional<peer_address> operator_update;
    /// Whom to ask for the listing of endpoints.
    std::optional<peer_address> listing;
};

/// Chooses among the hosts with the newest views. Where many hosts hear of the same news
/// at once, each asks another one, so that no host's link has to carry all of it.
relay_choice choose_relays(peer_table const& peers, relay_query const& own,
                           time_point now);

} // namespace marjorampath
