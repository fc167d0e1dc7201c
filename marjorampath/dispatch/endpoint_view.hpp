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

/// What is believed of an adapter at an engine.
struct adapter_estimate
{
    /// Whether it is there, or will be at `ready_at`.
    bool present = false;
    /// Version; zero where not known.
    std::uint64_t version = 0;
    /// When its load ends.
    time_point ready_at;
    /// Requests of the last seconds from all hosts, by the lease holder's last report.
    double requests = 0;
    /// Pause since it was last found not to be there yet; zero for none.
    duration delay{0};
    /// When this was learnt.
    time_point known_at;
};

/// A load that this host asked an engine's lease holder for.
struct load_request_state
{
    /// Until when the answer is waited for.
    time_point reply_deadline;
    /// Until when it is not asked for again, after a refusal.
    time_point refused_until;
};

/// Use of an adapter at an engine by this host.
struct adapter_use
{
    /// Requests that run or wait there now.
    std::uint32_t in_flight = 0;
    /// Requests sent since the last report to the lease holder.
    std::uint32_t sent = 0;
};

/// What one host knows of one endpoint: announced, reported by the engine's lease holder,
/// and counted here.
struct endpoint_view
{
    /// What the endpoint announced last.
    endpoint_announcement announced;
    /// Requests of this host that run or wait there.
    std::uint32_t in_flight = 0;
    /// Of these, prompt tokens that have not been answered by a first token.
    std::uint64_t waiting_tokens = 0;
    /// Tokens of prompts and answers in flight from here.
    std::uint64_t tokens = 0;
    /// Requests of other hosts, by the last report.
    std::uint32_t others_in_flight = 0;
    /// Waiting prompt tokens of other hosts, by the last report.
    std::uint64_t others_waiting_tokens = 0;
    /// Tokens in flight from other hosts, by the last report.
    std::uint64_t others_tokens = 0;
    /// When a lease holder that may give orders last reported the engine.
    time_point accepting_status_at{};
    /// When a lease holder last reported the engine, able to give orders or not.
    time_point last_status_at{};
    /// When its lease holder expects to give orders again; not set while it may, or while
    /// nobody told.
    std::optional<time_point> accepts_orders_at;
    /// Places for further adapters, by the last report.
    std::uint32_t free_adapter_slots = 0;
    /// Adapters by name.
    std::map<std::string, adapter_estimate> adapters;
    /// Use of adapters by this host.
    std::map<std::string, adapter_use> uses;
    /// Loads that were asked for there, by adapter.
    std::map<std::string, load_request_state> load_requests;
    /// Prompt parts sent here, by hash of adapter and part, and when.
    std::unordered_map<std::uint64_t, time_point> parts;
    /// Requests that have had no first event yet, and when they were sent.
    std::map<request_id, time_point> unanswered;
    /// Failures in a row.
    circuit_breaker breaker;
    /// Part of the recent answers that were failures, 0 to 1.
    double failure_rate = 0;
    /// Part of the recent sends that were refused, 0 to 1.
    double refusal_rate = 0;
};

} // namespace marjorampath
