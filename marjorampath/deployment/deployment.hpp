#pragma once

#include <marjorampath/deployment/route.hpp>
#include <marjorampath/deployment/service_definition.hpp>
#include <marjorampath/organisation/organisation_list.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace marjorampath
{

/// Limits on callers' connections and requests, published by the operator.
struct caller_bounds
{
    /// Largest request head, in bytes.
    std::uint32_t max_head_bytes = 16'384;
    /// Largest request body, in bytes.
    std::uint64_t max_body_bytes = 4'194'304;
    /// Time within which the head of a request must arrive.
    duration head_timeout = std::chrono::seconds(10);
    /// Time after which an idle connection is closed.
    duration idle_timeout = std::chrono::seconds(15);
};

/// The operator's routing configuration.
struct deployment
{
    /// Increases with each change.
    std::uint64_t version = 0;
    std::vector<route> routes;
    /// Services that the routes refer to.
    std::vector<service_definition> services;
    caller_bounds bounds;
    /// Organisations whose callers may send requests; unset if callers need no key.
    std::optional<organisation_list> organisations;

    /// Returns the service with this identifier, or null.
    [[nodiscard]] service_definition const* find_service(service_id id) const noexcept
    {
        for (auto const& service : services)
            if (service.id == id)
                return &service;
        return nullptr;
    }
};

} // namespace marjorampath
