#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// Settings of a dispatcher.
struct dispatch_options
{
    /// Prompt tokens that an engine processes per millisecond, as on the deployment
    /// sheets.
    double prefill_tokens_per_ms = 38.0;
    /// Delay of a new request's first token for each request that the engine runs: the
    /// duration of a batch step divided by the requests in the batch.
    duration delay_per_running_request = std::chrono::microseconds(300);
    /// Load time of an adapter while the weight store is idle, as on the deployment
    /// sheets.
    duration adapter_load_time = std::chrono::milliseconds(290);
    /// Added for an endpoint in another zone, so that equal endpoints nearby are
    /// preferred.
    duration other_zone_cost = std::chrono::milliseconds(6);
    /// Minimum time that another replica of an adapter must save to be loaded.
    duration min_replica_gain = std::chrono::milliseconds(150);
    /// Decayed request count at one engine at which an adapter counts as popular: about
    /// one request per second, whose prompts alone use a tenth of the engine.
    double popular_request_count = 10;
    /// Time for which a prompt part is expected to stay in an engine's cache.
    duration prompt_part_lifetime = std::chrono::seconds(20);
    /// Prompt backlog above which an engine's streams stall for too long: half of the
    /// longest pause that the deployment sheets allow.
    duration stall_free_backlog = std::chrono::milliseconds(300);
    /// Longest expected time to the first byte, as a multiple of the request's objective;
    /// above it a request is refused. Only the deadline limits requests that need a new
    /// load and those to plain services. Above 1, as a late answer still has about half
    /// the value of a timely one.
    double max_wait_factor = 3.0;
    /// Age above which a lease holder's report on an engine is stale; longer in large
    /// fleets, see `status_max_age_heartbeats`. Six heartbeat intervals of a small fleet.
    duration status_max_age = std::chrono::milliseconds(1'200);
    /// Number of heartbeat intervals after which a report becomes stale, if that is
    /// longer than `status_max_age`, as in large fleets.
    std::uint32_t status_max_age_heartbeats = 3;
    /// Age up to which a lease holder's report on an engine is used without confirmation:
    /// less than the processing time of a short prompt.
    duration max_unconfirmed_status_age = std::chrono::milliseconds(20);
    /// Time for which an engine's own answer takes precedence over reports of its
    /// adapters, and after `ready_at` within which a refusal counts as a late load.
    duration answer_precedence = std::chrono::milliseconds(700);
    /// Pause before a refused load is requested again from the same engine.
    duration load_refusal_pause = std::chrono::milliseconds(100);
    /// Fraction of its objective for which a request waits for an adapter slot: streams
    /// end many times a second, and each may free a slot. After a longer wait the
    /// objective is missed anyway.
    double slot_wait_factor = 0.4;
    /// Time after which an unanswered load request may be repeated: several round trips
    /// to another zone.
    duration load_reply_timeout = std::chrono::milliseconds(100);
    /// Consecutive lost, invalid or timed-out attempts after which an endpoint is
    /// ejected; a failed connection ejects it at once.
    std::uint32_t ejection_threshold = 2;
    /// Duration of an endpoint's first ejection.
    duration ejection_pause = std::chrono::milliseconds(400);
    /// Longest ejection of an endpoint: about the time after which service discovery
    /// drops a dead endpoint.
    duration max_ejection_pause = std::chrono::seconds(3);
    /// Default retry delay reported to a refused caller.
    duration retry_pause = std::chrono::milliseconds(800);
    /// Retry delay while no lease holder may give orders and none has reported when it
    /// may: about the duration of a lease takeover, during which every load is refused.
    duration no_lease_retry_pause = std::chrono::milliseconds(2'500);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

} // namespace marjorampath
