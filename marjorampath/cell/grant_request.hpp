#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// An entry host's request to the owner of a cell for a grant to run a request.
struct grant_request
{
    /// Request number, unique across hosts; each attempt has its own.
    request_id request{};
    /// Host that holds the caller's connection and will send the request.
    host_id entry{};
    /// Service that the caller requested.
    service_id service{};
    /// Team that the request is accounted to.
    team_id team{};
    /// Weight of the team's fair share.
    std::uint32_t team_weight = 1;
    /// Endpoint kind that serves the request.
    endpoint_kind_id endpoints{};
    /// Adapter version that the sheet assigns; empty for plain services.
    adapter_version_id adapter{};
    /// Hash of the request's content; the same for each attempt.
    fingerprint_id fingerprint{};
    /// Hash of the leading part of the prompt, to estimate prefix-cache hits; zero for
    /// none.
    std::uint64_t prefix = 0;
    /// Priority within the team; higher runs first.
    std::int32_t priority = 0;
    /// Whether the request may be retried when an earlier attempt may have run.
    bool idempotent = true;
    /// Whether it must run alone on its endpoint, because it is suspected of crashing
    /// endpoints.
    bool isolated = false;
    /// Number of earlier attempts of the same call; counts against the retry budget.
    std::uint32_t attempt = 0;
    /// Time by which the answer must be complete, on the owner's clock.
    time_point deadline{};
    /// Estimated number of prompt tokens.
    std::uint32_t prompt_tokens = 0;
    /// Largest number of tokens to generate.
    std::uint32_t max_tokens = 0;
    /// Number of the sheet with which the entry host resolved the request.
    std::uint64_t sheet_number = 0;
};

} // namespace marjorampath
