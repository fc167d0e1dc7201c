#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/rate_limit/rate_limit_notice.hpp>

#include <cstdint>

namespace marjorampath
{

/// A host's request for a permit to send one request to an endpoint that limits its rate.
struct permit_request
{
    /// Chosen by the sender; the reply repeats it.
    std::uint64_t number = 0;
    /// The endpoint and its limit as known to the sender.
    rate_limit_notice limit;
};

/// The reply of the host that issues the endpoint's permits.
struct permit_reply
{
    /// Number of the request.
    std::uint64_t number = 0;
    /// Whether one request may be sent now.
    bool granted = false;
    /// Time after which a refused host should ask again.
    duration wait{0};
    /// The endpoint and its limit as known to the sender of the reply.
    rate_limit_notice limit;
};

} // namespace marjorampath
