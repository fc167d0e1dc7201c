#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/load_refusal.hpp>

#include <cstdint>
#include <string>

namespace marjorampath
{

/// Asks an engine's lease holder for an adapter.
struct load_request
{
    /// The engine.
    endpoint_id endpoint;
    /// `MODEL/ADAPTER`.
    std::string adapter;
};

/// The lease holder's answer to a `load_request`.
struct load_reply
{
    /// The engine.
    endpoint_id endpoint;
    /// `MODEL/ADAPTER`.
    std::string adapter;
    /// Whether the adapter is there or on its way.
    bool accepted = false;
    /// Time until the load is expected to end.
    duration ready_in{0};
    /// Why it is not accepted; known at the lease holder only.
    load_refusal refusal = load_refusal::none;
};

} // namespace marjorampath
