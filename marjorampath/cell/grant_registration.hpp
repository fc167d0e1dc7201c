#pragma once

#include <marjorampath/core/identifier.hpp>

namespace marjorampath
{

/// A grant of an earlier owner that an entry host reports to the new owner of a cell.
struct grant_registration
{
    /// The running request.
    request_id request;
    /// Host that holds the caller's connection.
    host_id entry;
    /// Endpoint at which it runs.
    endpoint_id endpoint;
    /// Kind of the endpoint.
    endpoint_kind_id kind;
    /// Adapter version that it uses; empty for plain services.
    adapter_version_id adapter;
    /// Team that it is accounted to.
    team_id team;
    /// Whether it was granted alone on its endpoint.
    bool isolated = false;
};

} // namespace marjorampath
