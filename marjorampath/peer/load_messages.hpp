#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/load_refusal.hpp>

#include <cstdint>
#include <string>

namespace marjorampath
{

/// A request to an engine's lease holder to load an adapter.
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
    /// Whether the adapter is loaded or will be.
    bool accepted = false;
    /// Expected time until the load ends; zero if it is loaded.
    duration ready_in{0};
    /// Reason for a refusal; not sent to other hosts.
    load_refusal refusal = load_refusal::none;
};

} // namespace marjorampath
