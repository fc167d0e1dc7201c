#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// Settings of a dispatcher.
struct dispatch_options
{
    /// Prompt tokens that an engine reads in a millisecond: the deployment sheets'
    /// engines.
    double prefill_tokens_per_ms = 38.0;
    /// Time that each request which runs at an engine adds to a newcomer's first token:
    /// one step of a batch, shared between the requests that it serves.
    duration delay_per_running_request = std::chrono::microseconds(300);
    /// Time of an adapter's load: the deployment sheets' weight store, unloaded.
    duration adapter_load_time = std::chrono::milliseconds(290);
    /// What a longer way to another zone counts, so that equals stay in their zone.
    duration other_zone_cost = std::chrono::milliseconds(6);
    /// What a new copy of an adapter must save before it is loaded beside a present one.
    duration min_replica_gain = std::chrono::milliseconds(150);
    /// Requests of the last seconds at one engine that make an adapter popular: about one
    /// a second, whose prompts alone take a tenth of the engine.
    double popular_request_count = 10;
    /// Time for which a prompt part is expected to stay in an engine's cache.
    duration prompt_part_lifetime = std::chrono::seconds(20);
    /// Backlog of prompts beyond which the streams of an engine pause for too long: half
    /// of the longest pause that the deployment sheets allow.
    duration stall_free_backlog = std::chrono::milliseconds(300);
    /// Multiple of a request's objective that it may have to wait for its first byte; it
    /// is refused beyond. A late answer is worth about half of one in time.
    double max_wait_factor = 3.0;
    /// Time after which the status that a lease holder reported of an engine is stale, at
    /// least: five intervals between beats of a small fleet.
    duration status_max_age = std::chrono::milliseconds(1'200);
    /// The same in intervals between beats, for larger fleets.
    std::uint32_t status_max_age_heartbeats = 3;
    /// Age up to which a lease holder's report of an engine need not be confirmed before
    /// a request is sent there: less than a short prompt takes.
    duration fresh_status = std::chrono::milliseconds(20);
    /// Time for which an engine's own answer outweighs older reports of what it holds.
    duration answer_precedence = std::chrono::milliseconds(700);
    /// Pause before an engine is asked again for a load that it refused.
    duration load_refusal_pause = std::chrono::milliseconds(100);
    /// Part of its objective for which a request waits for a place: streams end many
    /// times a second, and each may free one. Beyond it the objective is missed anyway.
    double slot_wait_factor = 0.4;
    /// Time after which a load that was asked for without an answer is asked for again:
    /// several times the way to another zone and back.
    duration load_reply_timeout = std::chrono::milliseconds(100);
    /// Failures in a row after which an endpoint is ejected.
    std::uint32_t ejection_threshold = 2;
    /// First pause of an ejected endpoint.
    duration ejection_pause = std::chrono::milliseconds(400);
    /// Longest pause of an ejected endpoint: about the interval at which service
    /// discovery forgets a dead endpoint.
    duration max_ejection_pause = std::chrono::seconds(3);
    /// Pause that a refused caller is told where nothing better is known.
    duration retry_pause = std::chrono::milliseconds(800);
    /// The same where no host may give orders to any engine: about the time to take
    /// leases over, until then every load is refused.
    duration no_lease_retry_pause = std::chrono::milliseconds(2'500);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

} // namespace marjorampath
