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
        /// Where it runs.
        endpoint_id endpoint;
    };

    /// The request does not run.
    struct refused
    {
        /// Reason; its outcome is `not_run`.
        error_kind reason = error_kind::no_endpoint;
        /// Time after which asking again is worthwhile.
        duration retry_after{0};
    };

    /// The asked host does not own the cell.
    struct not_owner
    {
        /// The owner as far as known.
        host_id owner;
    };

    /// The request.
    request_id request;
    /// Fencing number of the owner's lease.
    std::uint64_t fencing_number = 0;
    /// What the owner decided.
    std::variant<granted, refused, not_owner> decision = not_owner{};
};

} // namespace marjorampath::serving
