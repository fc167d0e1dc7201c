#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/call_kind.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// One of the services that share a route's requests.
struct weighted_service
{
    /// The service.
    service_id service;
    /// Its part of the requests, against the sum of all weights.
    std::uint32_t weight = 1;
};

/// Requests of one host name and path prefix, and how they are handled.
struct route
{
    /// Name of the route, for logs.
    std::string name;
    /// Host name that callers send.
    std::string host;
    /// Beginning of the path; begins and ends with a slash.
    std::string prefix;
    /// What may be repeated.
    call_kind kind = call_kind::unsafe;
    /// Longest time for which a caller is kept waiting.
    duration timeout = std::chrono::seconds(10);
    /// Latency objective: to the whole answer, or to the first event of a stream.
    duration objective = std::chrono::seconds(1);
    /// Rank; zero is the most urgent.
    std::uint32_t priority = 0;
    /// Largest number of endpoints that may run one request.
    std::uint32_t max_attempts = 1;
    /// Services that requests go to; never empty.
    std::vector<weighted_service> services;
};

} // namespace marjorampath
