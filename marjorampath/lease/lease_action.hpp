#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_request.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace marjorampath
{

/// Sends a request to a witness.
struct send_lease_request
{
    /// The witness.
    host_id to;
    /// The request.
    lease_request request;
};

/// Sends a release to a witness or to the successor.
struct send_lease_release
{
    /// The receiver.
    host_id to;
    /// The release.
    lease_release release;
};

/// The host holds a resource from now on and may give orders. Comes again, with a higher
/// number, where the number had to be raised.
struct lease_acquired
{
    /// The resource.
    resource_id resource;
    /// Fencing number for the orders.
    std::uint64_t fencing_number = 0;
    /// Highest fencing number that a quorum of witnesses knew of before; zero for none.
    std::uint64_t previous_number = 0;
};

/// Why a lease was lost.
enum class lease_loss
{
    /// No quorum renewed it in time.
    expired,
    /// The process paused.
    paused,
    /// It was handed to another host.
    handed_over
};

/// The host holds a resource no longer.
struct lease_lost
{
    /// The resource.
    resource_id resource;
    /// Why.
    lease_loss reason = lease_loss::expired;
};

/// What a `lease_holder` decided.
using lease_action =
    std::variant<send_lease_request, send_lease_release, lease_acquired, lease_lost>;

/// Decisions in the order in which they were made.
using lease_actions = std::vector<lease_action>;

} // namespace marjorampath
