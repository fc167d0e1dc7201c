#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <variant>
#include <vector>

namespace marjorampath
{

/// Tells an entry host to run its request at an endpoint, which has the adapter.
struct grant_action
{
    /// The request that may run.
    request_id request;
    /// Host that asked.
    host_id entry;
    /// Endpoint that it runs at.
    endpoint_id endpoint;
};

/// Tells an entry host that its request will not run.
struct refuse_action
{
    /// The request that was refused.
    request_id request;
    /// Host that asked.
    host_id entry;
    /// Reason; its outcome is `not_run`.
    error_kind reason = error_kind::no_endpoint;
    /// Time after which asking again is worthwhile.
    duration retry_after{0};
};

/// Orders an engine to load an adapter version.
struct load_action
{
    /// Engine that the order goes to.
    endpoint_id endpoint;
    /// Adapter version to load.
    adapter_version_id adapter;
};

/// Orders an engine to unload an adapter version. Never one that is serving.
struct unload_action
{
    /// Engine that the order goes to.
    endpoint_id endpoint;
    /// Adapter version to unload.
    adapter_version_id adapter;
};

/// What a cell decided.
using cell_action = std::variant<grant_action, refuse_action, load_action, unload_action>;

/// Decisions in the order in which they were made; the shell carries them out in order.
using cell_actions = std::vector<cell_action>;

} // namespace marjorampath
