#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_request.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace marjorampath
{

/// Requests that a lease request be sent to a witness.
struct send_lease_request
{
    /// The witness.
    host_id to;
    lease_request request;
};

/// Requests that a release be sent to a witness or to the successor.
struct send_lease_release
{
    /// The witness or the successor.
    host_id to;
    lease_release release;
};

/// The host holds a resource from now on and may give orders. Repeated with a higher
/// fencing number whenever the number had to be raised.
struct lease_acquired
{
    /// The resource.
    resource_id resource;
    /// Fencing number for the orders.
    std::uint64_t fencing_number = 0;
    /// Highest fencing number known of another host or of an earlier tenure of this host;
    /// zero for none. Shows whether another host chose one since this host's last.
    std::uint64_t previous_number = 0;
};

/// Why a lease was lost.
enum class lease_loss
{
    /// No quorum renewed it in time.
    expired,
    /// The process paused.
    paused,
    /// This host released it, to a successor if there is one.
    handed_over
};

/// The host no longer holds a resource.
struct lease_lost
{
    /// The resource.
    resource_id resource;
    lease_loss reason = lease_loss::expired;
};

/// An action that a `lease_holder` requests from its caller.
using lease_action =
    std::variant<send_lease_request, send_lease_release, lease_acquired, lease_lost>;

/// Actions, to be carried out in order.
using lease_actions = std::vector<lease_action>;

} // namespace marjorampath
