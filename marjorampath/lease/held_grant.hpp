#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// A request that an entry host runs at an endpoint under a grant of the cell's owner.
struct held_grant
{
    /// The request.
    request_id request;
    /// Endpoint that it runs at.
    endpoint_id endpoint;
    /// Adapter version that it uses; empty for plain services.
    adapter_version_id adapter;
    /// Content of the request.
    fingerprint_id fingerprint;
    /// Time left until its deadline.
    duration remaining{0};
    /// Kind of the endpoint.
    endpoint_kind_id kind;
    /// Team that it is accounted to.
    team_id team;
    /// Whether it was granted alone on its endpoint.
    bool isolated = false;
};

} // namespace marjorampath
