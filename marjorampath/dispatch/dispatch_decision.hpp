#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace marjorampath
{

/// What to do with a request now.
enum class dispatch_action : std::uint8_t
{
    /// Send it to an endpoint.
    send,
    /// Wait for its adapter and ask again.
    wait,
    /// Refuse it: it has not run.
    refuse
};

/// A model or adapter that should be loaded at an engine.
struct proposed_load
{
    /// The engine.
    endpoint_id endpoint;
    /// `MODEL/ADAPTER`.
    std::string adapter;
};

/// A decision about one request.
struct dispatch_decision
{
    /// What to do.
    dispatch_action act = dispatch_action::refuse;
    /// Where to send it.
    endpoint_id endpoint;
    /// Expected time to the first byte of the answer.
    duration expected{0};
    /// Load to ask the engine's lease holder for, at once.
    std::optional<proposed_load> load;
    /// Whether what is known of the endpoint is so old that its lease holder should be
    /// asked first, and the decision made again.
    bool confirm = false;
    /// When to ask again at the latest.
    time_point recheck;
    /// Why it is refused.
    error_kind reason = error_kind::none;
    /// When the caller should come back.
    duration retry_after{0};
};

} // namespace marjorampath
