#pragma once

#include <marjorampath/core/outcome.hpp>

#include <span>
#include <string_view>
#include <system_error>

namespace marjorampath
{

/// The closed list of reasons for which a request, a file or an order can fail.
enum class error_kind
{
    /// No error.
    none,
    /// The request could not be understood.
    malformed_request,
    /// The head of the request is larger than allowed.
    head_too_large,
    /// The body of the request is larger than allowed.
    body_too_large,
    /// No such path or method.
    no_such_route,
    /// The sheet names no such service.
    unknown_service,
    /// The sheet assigns no such adapter to the service.
    unknown_adapter,
    /// The caller's credentials are missing or not accepted.
    unauthorized,
    /// The caller's role does not allow the act.
    forbidden,
    /// No sheet is in force yet.
    no_sheet,
    /// The deadline cannot be met; refused before running.
    deadline_unreachable,
    /// The deadline passed while the request was running.
    deadline_exceeded,
    /// The queue of the service or team is full.
    queue_full,
    /// No endpoint can take the request now.
    no_endpoint,
    /// The adapter could not be loaded.
    load_failed,
    /// The request crashed endpoints before and is refused.
    quarantined,
    /// The endpoint refused the request before running it.
    endpoint_refused,
    /// The endpoint or its connection failed while the request may have been running.
    endpoint_lost,
    /// The answer of the endpoint was not understood.
    endpoint_protocol,
    /// The host is shutting down and takes no new request.
    shutting_down,
    /// The host that decides about the request cannot be reached.
    owner_unreachable,
    /// The caller closed its connection.
    caller_gone,
    /// A defect of this program.
    internal
};

/// How one error kind is answered.
struct error_answer
{
    /// The kind that the row describes.
    error_kind kind;
    /// The name that is sent to callers and written to logs.
    std::string_view name;
    /// The HTTP status code.
    unsigned http_status;
    /// The outcome that this kind states. A request that may have run never gets a kind
    /// whose outcome is `not_run`.
    outcome result;
    /// Whether the answer carries a `Retry-After` header.
    bool retry_later;
    /// One sentence for the caller.
    std::string_view text;
};

/// The row of a kind in the table from kind to answer.
error_answer const& answer_of(error_kind kind) noexcept;

/// All rows, in the order of the enumerators.
std::span<error_answer const> all_error_answers() noexcept;

/// The category of codes made from `error_kind`.
std::error_category const& error_kind_category() noexcept;

/// Makes an `std::error_code` of a kind; found by `std::error_code`'s constructor.
std::error_code make_error_code(error_kind kind) noexcept;

/// The kind that a code was made from, or `internal` for a code of another category.
error_kind kind_of(std::error_code const& code) noexcept;

} // namespace marjorampath

template <>
struct std::is_error_code_enum<marjorampath::error_kind> : std::true_type
{
};
