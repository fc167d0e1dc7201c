#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/sheet/sheet.hpp>
#include <serving/caller/caller_context.hpp>
#include <serving/endpoint/connection_pool.hpp>
#include <serving/endpoint/directory.hpp>
#include <serving/node/grant_client.hpp>

#include <memory>

namespace marjorampath::serving
{

/// What a traffic thread routes by; replaced as a whole by the control thread.
struct routing_view
{
    /// The sheet in force, or null.
    std::shared_ptr<sheet const> sheet_in_force;
    /// The endpoints.
    std::shared_ptr<directory const> endpoints = std::make_shared<directory const>();
    /// Whether the host is shutting down.
    bool stopping = false;
};

/// Everything that the exchanges of one traffic thread share. Used on that thread only.
struct traffic_context
{
    /// What the callers' connections share.
    caller_context callers;
    /// This host.
    host_id host;
    /// The way to grants.
    grant_client grants;
    /// Kept connections to endpoints.
    connection_pool connections;
    /// What requests are routed by.
    routing_view view;
};

} // namespace marjorampath::serving
