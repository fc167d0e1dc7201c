#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath::serving
{

/// The operation that a request line selects.
enum class route_kind
{
    /// No known route.
    none,
    /// `GET /healthz`
    health,
    /// `GET /readyz`
    readiness,
    /// `GET /v1/models`
    models,
    /// `POST /v1/completions`
    completions,
    /// `POST /v1/chat/completions`
    chat_completions,
    /// Any method below `/services/SERVICE`
    plain
};

/// The parsed request line of a caller's request. Its views point into the request line.
struct request_route
{
    /// Requested operation.
    route_kind kind = route_kind::none;
    /// Name of the service; empty if the path names none.
    std::string_view service;
    /// Path relative to the service, beginning with `/`; with the query for plain
    /// services only.
    std::string_view target;
};

/// Parses the method and target of a request line.
request_route find_route(std::string_view method, std::string_view target) noexcept;

} // namespace marjorampath::serving
