#pragma once

#include <marjorampath/core/identifier.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath
{

/// What kind of endpoints serve a service.
enum class service_kind
{
    /// Model engines that run a base model with LoRA adapters.
    model,
    /// Plain HTTP services; requests are passed through unchanged.
    plain
};

/// The name of a service kind, as in the sheet.
std::string_view to_string(service_kind value) noexcept;

/// The service kind with the given name, or nothing if there is none.
std::optional<service_kind> parse_service_kind(std::string_view name) noexcept;

/// One row of the sheet's `services` table.
struct service_contract
{
    /// Hash of the name.
    service_id id;
    /// Name in request paths.
    std::string name;
    /// Whether it is a model service or a plain HTTP service.
    service_kind kind = service_kind::model;
    /// Row of the `endpoint_kinds` table for the endpoints that serve it.
    endpoint_kind_id endpoints;
    /// Team that its requests are accounted to.
    team_id team;
    /// Name of the team.
    std::string team_name;
    /// Weight of the team's fair share, at least 1.
    std::uint32_t weight = 1;
    /// Default deadline of requests.
    std::chrono::milliseconds deadline{0};
};

} // namespace marjorampath
