#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>
#include <marjorampath/limits/circuit_breaker.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace marjorampath
{

/// Estimated state of an adapter at an engine.
struct adapter_estimate
{
    /// Whether it is loaded, or will be at `ready_at`.
    bool present = false;
    /// Version; zero if unknown.
    std::uint64_t version = 0;
    /// When its load is expected to end; for a loaded adapter, the time of the report.
    time_point ready_at;
    /// Decayed number of recent requests from all hosts, according to the lease holder's
    /// last report.
    double requests = 0;
    /// Current pause between this host's retries of a late load; zero while it is not
    /// late.
    duration retry_pause{0};
    /// Time of the information; earlier for reports and announcements, so that the
    /// engine's own answers take precedence.
    time_point known_at;
};

/// State of a load that this host requested from an engine's lease holder.
struct load_request_state
{
    /// Until when the reply is awaited.
    time_point reply_deadline;
    /// After a refusal: until when the load is not requested again.
    time_point refused_until;
};

/// This host's requests for an adapter at an engine.
struct adapter_use
{
    /// Requests running or queued at the engine.
    std::uint32_t in_flight = 0;
    /// Requests sent since the last report to the lease holder.
    std::uint32_t sent = 0;
};

/// One host's view of an endpoint, from its announcement, the reports of the engine's
/// lease holder, and this host's own requests.
struct endpoint_view
{
    /// The endpoint's last announcement, with later reports of its models.
    endpoint_announcement announced;
    /// Requests of this host running or queued there.
    std::uint32_t in_flight = 0;
    /// Prompt tokens of those requests that have had no first event yet.
    std::uint64_t waiting_tokens = 0;
    /// Prompt tokens and maximum answer tokens of all those requests.
    std::uint64_t tokens = 0;
    /// Requests of other hosts running or queued there, according to the last
    /// report.
    std::uint32_t others_in_flight = 0;
    /// Waiting prompt tokens of other hosts, according to the last report.
    std::uint64_t others_waiting_tokens = 0;
    /// Prompt tokens and maximum answer tokens of other hosts' requests, according to the
    /// last report.
    std::uint64_t others_tokens = 0;
    /// Time of the last report, or zero if its sender may not give orders to the engine.
    time_point accepting_status_at{};
    /// Time of the last report, whether or not its sender may give orders.
    time_point last_status_at{};
    /// When its lease holder expects to be able to give orders; the time of the last
    /// report if the holder gave no estimate. Unset before the first report, or if the
    /// holder may give orders now.
    std::optional<time_point> accepts_orders_at;
    /// Free adapter slots, according to the last report.
    std::uint32_t free_adapter_slots = 0;
    /// Estimated state of adapters, by adapter.
    std::map<std::string, adapter_estimate> adapters;
    /// This host's requests, by adapter.
    std::map<std::string, adapter_use> uses;
    /// Loads that were requested there, by adapter.
    std::map<std::string, load_request_state> load_requests;
    /// Prompt parts sent there, by `part_key`, with the time of the last send.
    std::unordered_map<std::uint64_t, time_point> parts;
    /// Requests that have had no first event yet, with the time they were sent.
    std::map<request_id, time_point> unanswered;
    /// Before this time the endpoint wants no request from this host, by its own answer.
    time_point paused_until{};
    /// Ejects the endpoint after consecutive failures.
    circuit_breaker breaker;
    /// Moving average of failed attempts, 0 to 1.
    double failure_rate = 0;
    /// Moving average of refused attempts, 0 to 1.
    double refusal_rate = 0;
};

} // namespace marjorampath
