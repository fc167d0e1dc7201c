#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/lease/lease_verdict.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// A witness's answer to a `lease_request`.
struct lease_reply
{
    /// Host that answers.
    host_id witness;
    /// Its incarnation.
    std::uint64_t witness_incarnation = 0;
    /// Number of the request.
    std::uint64_t request_number = 0;
    /// Whether the host is an active witness. An inactive one grants nothing.
    bool active = false;
    /// Time until the host expects to be active, zero where it does not expect it.
    duration active_in{0};
    /// One verdict for each resource of the request.
    std::vector<lease_verdict> verdicts;
};

} // namespace marjorampath
