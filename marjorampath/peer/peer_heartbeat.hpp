#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/store_position.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/endpoint_usage.hpp>
#include <marjorampath/peer/engine_status.hpp>
#include <marjorampath/peer/relayed_heartbeat.hpp>
#include <marjorampath/quota/quota_report.hpp>
#include <marjorampath/rate_limit/rate_limit_notice.hpp>
#include <marjorampath/suspect/conviction.hpp>
#include <marjorampath/suspect/part_report.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath
{

/// Address at which other hosts reach a host.
struct peer_address
{
    /// IPv4 address as a number in host byte order.
    std::uint32_t address = 0;
    /// Port.
    std::uint16_t port = 0;

    friend auto operator<=>(peer_address const&, peer_address const&) = default;
};

/// What a heartbeat reports about a host other than its sender.
struct peer_mention
{
    /// The host.
    host_id host;
    /// Its last known incarnation.
    std::uint64_t incarnation = 0;
    /// Its address.
    peer_address address;
};

/// Message that each host sends to every other host a few times per second.
struct peer_heartbeat
{
    /// The sender.
    host_id host;
    /// Its zone.
    zone_id zone;
    /// Start time of its process in wall-clock milliseconds, or higher if another host
    /// remembers a later one.
    std::uint64_t incarnation = 0;
    /// Its address.
    peer_address address;
    /// Whether it is shutting down.
    bool leaving = false;
    /// Whether its process is about to exit; set in its last heartbeat.
    bool gone = false;
    /// Last change of the operator that the sender has; zero if it has none.
    store_position operator_change;
    /// See `operator_position::kept_configuration`.
    std::uint64_t kept_configuration = 0;
    /// Position of its last endpoint listing.
    store_position listing_position;
    /// Age of that listing.
    duration listing_age{0};
    /// Number of unfinished loads, ordered or pending, at engines whose leases it holds.
    std::uint32_t loads_in_transit = 0;
    /// Some of the hosts that it knows, including the receiver.
    std::vector<peer_mention> mentions;
    /// Statuses of the engines whose leases it holds.
    std::vector<engine_status> engines;
    /// Its requests in flight at engines whose leases the receiver holds, and at plain
    /// services.
    std::vector<endpoint_usage> usage;
    /// Requests that were in flight when endpoints crashed.
    std::vector<conviction> convictions;
    /// What endpoints said of the request rates that they accept; of those whose permits
    /// the sender issues.
    std::vector<rate_limit_notice> rate_limits;
    /// Parts of prompts that were in flight when endpoints crashed, or whose suspicion is
    /// refuted.
    std::vector<part_report> parts;
    /// Services of which the sender reaches no endpoint.
    std::vector<service_id> unreached_services;
    /// Whether the sender passes heartbeats on and gets them so; builds before groups of
    /// hosts do not.
    bool passes_on = false;
    /// Number of the heartbeat in its process, from one; zero from builds that do not
    /// number them.
    std::uint64_t sequence = 0;
    /// Whether the receiver should pass it on to its own group.
    bool to_pass_on = false;
    /// Time since its configuration was certainly current; unset if it does not know or
    /// is of a build that does not say so.
    std::optional<duration> configuration_age;
    /// Requests of organisations that ask for much of their quota.
    std::vector<quota_report> quotas;
    /// Heartbeats of other groups' hosts that the sender passes on.
    std::vector<relayed_heartbeat> relayed;
};

} // namespace marjorampath
