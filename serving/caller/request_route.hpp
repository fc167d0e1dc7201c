#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath::serving
{

/// What a caller's request line asks for.
enum class route_kind
{
    /// Nothing that there is.
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

/// The place that a caller's request line names. Views into the request line.
struct request_route
{
    /// What is asked for.
    route_kind kind = route_kind::none;
    /// Name of the service; empty where the path names none.
    std::string_view service;
    /// Path and query below the service, beginning with `/`.
    std::string_view target;
};

/// Reads a request line.
request_route find_route(std::string_view method, std::string_view target) noexcept;

} // namespace marjorampath::serving
