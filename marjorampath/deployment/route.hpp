#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/call_kind.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// One of the services that a route distributes its requests to.
struct weighted_service
{
    service_id service;
    /// Its share of the requests, relative to the sum of all weights.
    std::uint32_t weight = 1;
};

/// How requests with one host name and path prefix are handled.
struct route
{
    /// Name, for logs.
    std::string name;
    /// HTTP host name in the caller's request.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    /// Whether requests may be repeated, and whether they are answered by a stream.
    call_kind kind = call_kind::unsafe;
    /// Longest time that a caller waits for the answer.
    duration timeout = std::chrono::seconds(10);
    /// Latency objective: until the complete answer, or the first event of a stream.
    duration objective = std::chrono::seconds(1);
    /// Priority; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of attempts per request, not counting refusals and failed
    /// connections, which certainly did not run it.
    std::uint32_t max_attempts = 1;
    /// Whether callers need no key, also in a deployment with organisations.
    bool open = false;
    /// Services that requests are distributed to; never empty.
    std::vector<weighted_service> services;
};

} // namespace marjorampath
