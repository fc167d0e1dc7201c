#pragma once

#include <marjorampath/deployment/route.hpp>
#include <marjorampath/deployment/service_definition.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// Bounds of what callers may send, as the operator publishes them.
struct caller_bounds
{
    /// Largest head of a request, in bytes.
    std::uint32_t max_head_bytes = 16'384;
    /// Largest body of a request, in bytes.
    std::uint64_t max_body_bytes = 4'194'304;
    /// Time after which an idle connection is closed.
    duration idle_timeout = std::chrono::seconds(15);
};

/// The operator's configuration: everything that requests are routed by.
struct deployment
{
    /// Rises with each change.
    std::uint64_t version = 0;
    /// Routes.
    std::vector<route> routes;
    /// Services that the routes name.
    std::vector<service_definition> services;
    /// Bounds of what callers may send.
    caller_bounds bounds;

    /// The service of an identifier, or null.
    [[nodiscard]] service_definition const* find_service(service_id id) const noexcept
    {
        for (auto const& service : services)
            if (service.id == id)
                return &service;
        return nullptr;
    }
};

} // namespace marjorampath
