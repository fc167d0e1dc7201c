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

/// Routing data of a traffic thread; the control thread replaces it as a whole.
struct routing_view
{
    /// The sheet in force; null until the first one is read.
    std::shared_ptr<sheet const> sheet_in_force;
    /// The endpoints of this host's region.
    std::shared_ptr<directory const> endpoints = std::make_shared<directory const>();
    /// Whether the host is shutting down.
    bool stopping = false;
};

/// Objects shared by the exchanges of one traffic thread. Must be used on that thread
/// only.
struct traffic_context
{
    /// Objects shared by the caller connections.
    caller_context callers;
    /// This host.
    host_id host;
    /// Requests grants from the control thread.
    grant_client grants;
    /// Idle connections to endpoints.
    connection_pool connections;
    /// Current routing data.
    routing_view view;
};

} // namespace marjorampath::serving
