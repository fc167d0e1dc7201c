#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/rate_limit/permit_issuer.hpp>
#include <marjorampath/rate_limit/permit_messages.hpp>
#include <marjorampath/rate_limit/permit_owner.hpp>
#include <marjorampath/rate_limit/rate_limit_registry.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace marjorampath
{

class peer_table;

/// Settings of a rate limit coordinator.
struct rate_limit_options
{
    /// Issue of permits at this host.
    permit_issuer_options issuer;
    /// Time for which the end of a limit is reported to the other hosts: longer than any
    /// of them stays silent without being replaced as the issuer.
    duration ended_report_time = std::chrono::seconds(10);
    /// Most limits in one heartbeat, which is a datagram.
    std::size_t max_reported = 64;
    /// Time after which a host asks again that asked one that does not issue the permits.
    duration misdirected_pause = std::chrono::milliseconds(100);
};

/// One host's part in keeping the request rates that endpoints accept from all hosts
/// together.
///
/// For each endpoint one host issues the permits: the one that `choose_permit_owner`
/// names. The others ask it before each request to the endpoint. It learns of a limit
/// from its own answers, from requests for permits and from reports of the host that got
/// the answer, and its heartbeats tell all hosts.
class rate_limit_coordinator
{
public:
    /// How a permit for one request is obtained.
    struct permit_step
    {
        /// Whether the request may be sent now.
        bool granted = false;
        /// Host to ask for the permit; empty if this host has decided.
        host_id ask;
        /// Time after which to ask again, if this host has refused.
        duration wait{0};
    };

    /// Constructs a coordinator that knows no limits.
    rate_limit_coordinator(host_id self, rate_limit_options options)
        : self_(self), options_(options), issuer_(options.issuer)
    {
    }

    /// Processes what an endpoint's answer said, which this host received or another host
    /// reported. Returns whether that changed the limit in force.
    bool apply(rate_limit_notice const& notice, time_point now);

    /// Forgets an endpoint whose process has ended.
    void forget(endpoint_id endpoint);

    /// The limit in force, in requests per second; empty for none.
    [[nodiscard]] std::optional<double> limit_of(endpoint_id endpoint) const
    {
        return registry_.limit_of(endpoint);
    }

    /// The latest statement of an endpoint, for a message to another host.
    [[nodiscard]] rate_limit_notice notice_of(endpoint_id endpoint, time_point now) const
    {
        return registry_.notice_of(endpoint, now);
    }

    /// Obtains a permit for one request to an endpoint, or tells which host to ask.
    permit_step request_permit(endpoint_id endpoint, peer_table const& peers,
                               time_point now);

    /// Answers another host's request for a permit. What the request says of the limit
    /// must have been applied before.
    permit_reply on_request(permit_request const& request, peer_table const& peers,
                            time_point now);

    /// The statements that this host reports in its heartbeats: those of the endpoints
    /// whose permits it issues.
    [[nodiscard]] std::vector<rate_limit_notice> reported(peer_table const& peers,
                                                          time_point now) const;

private:
    host_id self_;
    rate_limit_options options_;
    rate_limit_registry registry_;
    permit_issuer issuer_;
};

} // namespace marjorampath
