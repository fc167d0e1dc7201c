#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// A request that an entry host runs at an endpoint under a grant of the cell's owner.
struct held_grant
{
    request_id request;
    /// Endpoint that it runs at.
    endpoint_id endpoint;
    /// Adapter version that it uses; empty for plain services.
    adapter_version_id adapter;
    /// Fingerprint of the request's content.
    fingerprint_id fingerprint;
    /// Time left until the request's deadline.
    duration remaining{0};
    endpoint_kind_id kind;
    /// Team that the request is accounted to.
    team_id team;
    /// Whether the request was granted exclusive use of its endpoint.
    bool isolated = false;
};

} // namespace marjorampath
