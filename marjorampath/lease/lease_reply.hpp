#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/lease/lease_verdict.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// A witness's reply to a `lease_request`.
struct lease_reply
{
    /// Host that sends the reply.
    host_id witness;
    /// Incarnation of that host.
    std::uint64_t witness_incarnation = 0;
    /// Request number, copied from the request.
    std::uint64_t request_number = 0;
    /// Whether the host is an active witness. An inactive one grants no leases.
    bool active = false;
    /// Time until the host expects to become active; zero if it is active or does not
    /// expect to become so.
    duration active_in{0};
    /// One verdict per resource of the request.
    std::vector<lease_verdict> verdicts;
};

} // namespace marjorampath
