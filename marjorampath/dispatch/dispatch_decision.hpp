#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace marjorampath
{

/// The next step for a request.
enum class dispatch_action : std::uint8_t
{
    /// Send it to an endpoint.
    send,
    /// Wait for its adapter, then decide again.
    wait,
    /// Refuse it; it has not run.
    refuse
};

/// An adapter that should be loaded at an engine.
struct proposed_load
{
    /// Engine that should load it.
    endpoint_id endpoint;
    /// `MODEL/ADAPTER`.
    std::string adapter;
};

/// A decision about one request.
struct dispatch_decision
{
    dispatch_action action = dispatch_action::refuse;
    /// Endpoint to send it to, or the one that a refusal or a wait depends on.
    endpoint_id endpoint;
    /// Expected time to the first byte of the answer.
    duration expected{0};
    /// Load to request from the engine's lease holder immediately.
    std::optional<proposed_load> load;
    /// Whether the endpoint's status is too old to be used unconfirmed: its lease holder
    /// should be queried first, and the decision made again.
    bool confirm = false;
    /// Latest time to decide again.
    time_point recheck;
    /// Reason of a refusal.
    error_kind reason = error_kind::none;
    /// Time after which a refused caller should retry.
    duration retry_after{0};
};

} // namespace marjorampath
