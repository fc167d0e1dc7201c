#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <variant>
#include <vector>

namespace marjorampath
{

/// Lets an entry host run its request at an endpoint that holds the adapter.
struct grant_action
{
    /// The granted request.
    request_id request;
    /// Host that sent the request.
    host_id entry;
    /// Endpoint at which it runs.
    endpoint_id endpoint;
};

/// Refuses a request; it will not run.
struct refuse_action
{
    /// The refused request.
    request_id request;
    /// Host that sent the request.
    host_id entry;
    /// Why it is refused: only error kinds with the outcome `not_run`.
    error_kind reason = error_kind::no_endpoint;
    /// Time after which the caller may retry.
    duration retry_after{0};
};

/// Orders an engine to load an adapter version.
struct load_action
{
    /// Engine that receives the order.
    endpoint_id endpoint;
    /// Adapter version to load.
    adapter_version_id adapter;
};

/// Orders an engine to unload an adapter version that no granted request uses there.
struct unload_action
{
    /// Engine that receives the order.
    endpoint_id endpoint;
    /// Adapter version to unload.
    adapter_version_id adapter;
};

/// A decision of a cell.
using cell_action = std::variant<grant_action, refuse_action, load_action, unload_action>;

/// Decisions in the order in which they must be carried out.
using cell_actions = std::vector<cell_action>;

} // namespace marjorampath
