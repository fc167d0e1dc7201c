#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/token_bucket.hpp>

#include <map>

namespace marjorampath
{

/// Settings of a permit issuer.
struct permit_issuer_options
{
    /// Time over which unused permits add up.
    duration burst_time = std::chrono::milliseconds(500);
    /// Lowest rate of permits, per second: an endpoint that accepts no requests is asked
    /// now and then, since only its answers tell that it accepts some again.
    double min_rate = 0.2;
    /// Longest time after which a refused host is told to ask again.
    duration max_wait = std::chrono::seconds(1);
};

/// Issues the permits to send requests to endpoints that limit their rate.
///
/// An endpoint's permits start to add up at the first request for one, so that a change
/// of the issuing host does not add the unused permits of several hosts.
class permit_issuer
{
public:
    /// The decision on a request for a permit.
    struct decision
    {
        bool granted = false;
        /// Time after which a refused host should ask again. Each refusal gets a later
        /// time, at the rate of the permits, so that many hosts do not ask together.
        duration wait{0};
    };

    /// Constructs an issuer without endpoints.
    explicit permit_issuer(permit_issuer_options options) : options_(options) {}

    /// Decides on a request for a permit; `rate` is the present rate of the endpoint's
    /// permits, per second.
    decision take(endpoint_id endpoint, double rate, time_point now);

    /// Forgets an endpoint's permits, because another host issues them now or the
    /// endpoint has no limit any more.
    void forget(endpoint_id endpoint);

private:
    // Permits of one endpoint
    struct permits
    {
        token_bucket available;
        // When the host that was refused last should ask again
        time_point last_asks_again_at;
    };

    permit_issuer_options options_;
    std::map<endpoint_id, permits> endpoints_;
};

} // namespace marjorampath
