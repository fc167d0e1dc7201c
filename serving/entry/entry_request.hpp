#pragma once

#include <marjorampath/deployment/route_table.hpp>
#include <marjorampath/dispatch/call.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace marjorampath::serving
{

/// A caller's request as a platform's dialect reads it.
struct entry_request
{
    /// Identifier of the caller's attempt, for answers and logs.
    std::string name;
    /// What the dispatcher has to know.
    call asked;
    /// Keeps the route alive.
    std::shared_ptr<route_table const> table;
    /// The route.
    route const* matched = nullptr;
    /// Identifier of the last event that the caller has of a stream; zero for none.
    std::uint64_t last_event = 0;
};

/// What differs between the sends of one request.
struct endpoint_send
{
    /// Time that the endpoint has.
    duration left{0};
    /// Version of the adapter that it must run on; zero for any.
    std::uint64_t version = 0;
    /// Identifier of the last event that is there already; zero for none.
    std::uint64_t last_event = 0;
    /// Rank at the endpoint; zero is the most urgent.
    std::uint32_t priority = 0;
};

/// What an endpoint's head says.
enum class endpoint_verdict : std::uint8_t
{
    /// The answer to the request: a success.
    success,
    /// The answer to the request: the endpoint's own failure. It has run.
    failure,
    /// Not run: the endpoint is full or leaving.
    refused,
    /// Not run: the adapter, or its version, is not there.
    adapter_missing,
    /// Not run: another endpoint has the address.
    another_instance,
    /// The answer to another request.
    other_request,
    /// No proper answer.
    garbled
};

} // namespace marjorampath::serving
