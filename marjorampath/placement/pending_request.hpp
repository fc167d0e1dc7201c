#pragma once

#include <marjorampath/cell/grant_request.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

struct adapter_state;
struct endpoint_state;
struct team_share;

/// A queued or granted request.
struct pending_request
{
    /// The request as received.
    grant_request received;
    /// Position in the order of arrival.
    std::uint64_t sequence = 0;
    /// Time of arrival.
    time_point arrived;
    /// Latest start with which it is expected to finish before its deadline.
    time_point latest_start;
    /// Expected service time in seconds, as charged to the team.
    double service_seconds = 0;
    /// Team that it is accounted to.
    team_share* team = nullptr;
    /// Adapter that it needs.
    adapter_state* adapter = nullptr;
    /// Endpoint at which it is granted or that is reserved for it, or null.
    endpoint_state* endpoint = nullptr;
    /// Epoch of the endpoint at the time of the grant.
    std::uint64_t epoch = 0;
    /// Time of the grant.
    time_point granted_at;
    /// Whether it was granted.
    bool granted = false;
};

} // namespace marjorampath
