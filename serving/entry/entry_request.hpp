#pragma once

#include <marjorampath/deployment/route_table.hpp>
#include <marjorampath/dispatch/call.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace marjorampath::serving
{

/// A caller's request as parsed by the platform's dialect.
struct entry_request
{
    /// Identifier that the caller gave its attempt, for answers and logs.
    std::string caller_attempt_id;
    /// The request's properties for the dispatcher.
    call dispatch_call;
    /// Table that owns the matched route; keeps it alive.
    std::shared_ptr<route_table const> routes;
    /// The matched route, owned by `routes`.
    route const* matched_route = nullptr;
    /// Name of the caller's organisation, empty on an open route; unset in deployments
    /// without organisations.
    std::optional<std::string> organisation;
    /// Identifier of the last event of a stream that the caller has; zero for none.
    std::uint64_t last_event = 0;
    /// Tokens of prompt and answer, if the caller tells them.
    std::optional<std::uint64_t> tokens;
    /// Identifier of the caller's attempt that received the first event of that stream;
    /// empty if the caller did not name it.
    std::string resumed_attempt;
};

/// The properties that differ between the attempts of one request.
struct attempt_options
{
    /// Time left for the endpoint to answer.
    duration time_left{0};
    /// Version of the adapter that must answer; zero for any.
    std::uint64_t version = 0;
    /// Identifier of the last event that the stream continues after; zero for none.
    std::uint64_t last_event = 0;
    /// Priority at the endpoint; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Name of the caller's organisation, empty for none. If set, the endpoint gets it
    /// instead of what the caller sent, and not the caller's key.
    std::optional<std::string> organisation;
};

/// The request rate that the head of an endpoint's answer names.
struct named_rate_limit
{
    /// Whether the head names a rate.
    enum class field_state : std::uint8_t
    {
        absent,
        valid,
        /// The field cannot be parsed.
        invalid
    };

    field_state state = field_state::absent;
    /// Requests per second that the endpoint accepts from all hosts together; set if the
    /// field is valid.
    double rate = 0;
};

/// What an endpoint's refusal says of the time for which the endpoint wants no request
/// from this host.
struct named_pause
{
    /// Whether the head names a time.
    named_rate_limit::field_state state = named_rate_limit::field_state::absent;
    /// That time; set if the field is valid.
    duration time{0};
};

/// The meaning of the head of an endpoint's answer.
enum class endpoint_verdict : std::uint8_t
{
    /// A success: the answer to the request.
    success,
    /// A failure of the endpoint; the request has run.
    failure,
    /// Not run: the endpoint is full or draining.
    refused,
    /// Not run: the adapter, or the required version of it, is not loaded.
    adapter_missing,
    /// Not run: another endpoint has the address.
    another_instance,
    /// The answer to another request.
    other_request,
    /// Not a valid answer.
    garbled
};

} // namespace marjorampath::serving
