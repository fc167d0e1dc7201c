#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// An entry host's question to the owner of a cell: where may this request run?
struct grant_request
{
    /// The request, unique across hosts; each attempt has one of its own.
    request_id request{};
    /// Host that holds the caller's connection and will send the request.
    host_id entry{};
    /// Service that the caller named.
    service_id service{};
    /// Team that the request is accounted to.
    team_id team{};
    /// Weight of the team's fair share.
    std::uint32_t team_weight = 1;
    /// Kind of endpoint that serves it.
    endpoint_kind_id endpoints{};
    /// Adapter version that the sheet assigns; empty for plain services.
    adapter_version_id adapter{};
    /// Content of the request, equal when it is sent again.
    fingerprint_id fingerprint{};
    /// Hash of the leading part of the prompt, for guesses of prefix-cache hits.
    std::uint64_t prefix = 0;
    /// Higher goes first.
    std::int32_t priority = 0;
    /// Whether the request may be tried again after it may have run.
    bool idempotent = true;
    /// Whether it must run alone on its endpoint, since it may have crashed one.
    bool isolated = false;
    /// Number of earlier attempts of the same call; counts against the retry budget.
    std::uint32_t attempt = 0;
    /// Time by which the answer must be complete, on the clock of the owner.
    time_point deadline{};
    /// Estimated number of prompt tokens.
    std::uint32_t prompt_tokens = 0;
    /// Largest number of tokens to generate.
    std::uint32_t max_tokens = 0;
    /// Number of the sheet that the entry host resolved the request by.
    std::uint64_t sheet_number = 0;
};

} // namespace marjorampath
