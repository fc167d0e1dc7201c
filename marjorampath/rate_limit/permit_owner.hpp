#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

namespace marjorampath
{

class peer_table;

/// The host that issues the permits of an endpoint.
struct permit_owner
{
    /// The host.
    host_id host;
    /// Part of the endpoint's rate that it may use, 0 to 1.
    double share = 1;
};

/// Chooses by rendezvous hashing among the hosts that are alive, so that hosts with the
/// same view agree without messages.
///
/// The share is the part of the known hosts that answer. Groups of hosts that are cut
/// from each other choose an owner each, and together they still keep the limit for as
/// long as a silent host is remembered.
permit_owner choose_permit_owner(peer_table const& peers, endpoint_id endpoint,
                                 time_point now);

} // namespace marjorampath
