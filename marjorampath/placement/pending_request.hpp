#pragma once

#include <marjorampath/cell/grant_request.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

struct adapter_state;
struct endpoint_state;
struct team_share;

/// A request that a cell knows: it waits or it was granted.
struct pending_request
{
    /// What was asked.
    grant_request request;
    /// Order of arrival.
    std::uint64_t sequence = 0;
    /// Time of arrival.
    time_point arrived;
    /// Latest time at which starting it makes sense.
    time_point latest_start;
    /// Expected seconds of service, as accounted to the team.
    double seconds = 0;
    /// Team that it is accounted to.
    team_share* team = nullptr;
    /// Adapter that it needs.
    adapter_state* adapter = nullptr;
    /// Endpoint that it was granted at, or that is reserved for it; null while it waits.
    endpoint_state* endpoint = nullptr;
    /// Epoch of the endpoint at the time of the grant.
    std::uint64_t epoch = 0;
    /// Time of the grant.
    time_point granted_at;
    /// Whether it was granted.
    bool granted = false;
};

} // namespace marjorampath
