#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <variant>

namespace marjorampath::serving
{

/// The owner's answer to a `cell_grant_request`.
struct cell_grant_reply
{
    /// The request may run.
    struct granted
    {
        /// Endpoint that runs it.
        endpoint_id endpoint;
    };

    /// The request is refused and does not run.
    struct refused
    {
        /// Reason for the refusal, of outcome `not_run`.
        error_kind reason = error_kind::no_endpoint;
        /// Advised time before the next request.
        duration retry_after{0};
    };

    /// The host that received the request does not own the cell.
    struct not_owner
    {
        /// The owner as far as that host knows; empty if unknown.
        host_id owner;
    };

    /// The request that this answers.
    request_id request;
    /// Fencing number of the owner's lease.
    std::uint64_t fencing_number = 0;
    /// The decision.
    std::variant<granted, refused, not_owner> decision = not_owner{};
};

} // namespace marjorampath::serving
