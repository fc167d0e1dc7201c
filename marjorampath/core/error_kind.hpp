#pragma once

#include <marjorampath/core/outcome.hpp>

#include <span>
#include <string_view>
#include <system_error>

namespace marjorampath
{

/// All reasons for which a caller's request can fail.
enum class error_kind
{
    /// No error.
    none,
    /// The request is malformed.
    malformed_request,
    /// The head of the request is larger than allowed.
    head_too_large,
    /// The body of the request is larger than allowed.
    body_too_large,
    /// No route or handler exists for the path and method.
    no_such_route,
    /// The sheet contains no such service.
    unknown_service,
    /// The sheet assigns no such adapter to the service.
    unknown_adapter,
    /// The caller's credentials are missing or not accepted.
    unauthorized,
    /// The caller's role does not permit the operation.
    forbidden,
    /// This host has not accepted a sheet yet.
    no_sheet,
    /// The deadline cannot be met; the request was refused before it ran.
    deadline_unreachable,
    /// The deadline passed while the request was running.
    deadline_exceeded,
    /// The queue of the service or of the team is full.
    queue_full,
    /// No endpoint can accept the request or load its adapter now.
    no_endpoint,
    /// The adapter could not be loaded.
    load_failed,
    /// The request crashed endpoints before and is refused.
    quarantined,
    /// The endpoint refused the request before running it.
    endpoint_refused,
    /// The endpoint or its connection failed while the request may have been running.
    endpoint_lost,
    /// The endpoint's answer violates the protocol.
    endpoint_protocol,
    /// The host is shutting down and accepts no new requests.
    shutting_down,
    /// The host that decides on the request cannot be reached.
    owner_unreachable,
    /// The caller closed its connection.
    caller_gone,
    /// This host cannot tell whether its configuration is still in force, so the caller's
    /// key may have been revoked.
    configuration_unconfirmed,
    /// The caller's organisation has used its quota.
    quota_exceeded,
    /// The caller did not send its request in time.
    request_timeout,
    /// This host has no place for the connection, or no memory for the message.
    host_full,
    /// A defect in this program.
    internal
};

/// The answer that is sent to a caller for an error kind.
struct error_answer
{
    /// The error kind.
    error_kind kind;
    /// The name that is sent to callers and written to logs.
    std::string_view name;
    /// The HTTP status code.
    unsigned http_status;
    /// The outcome that this kind reports. A request that may have run is never answered
    /// with a kind whose outcome is `not_run`.
    outcome result;
    /// Whether the answer has a `Retry-After` header.
    bool retry_later;
    /// One sentence for the caller.
    std::string_view text;
};

/// The answer for an error kind.
error_answer const& answer_of(error_kind kind) noexcept;

/// All answers, in the order of the enumerators.
std::span<error_answer const> all_error_answers() noexcept;

/// The error category of `error_kind`.
std::error_category const& error_kind_category() noexcept;

/// Creates a `std::error_code` from a kind; `std::error_code`'s constructor calls it.
std::error_code make_error_code(error_kind kind) noexcept;

/// The kind of a code of `error_kind_category()`. For a code of another category: `none`
/// if the code is zero, else `internal`.
error_kind kind_of(std::error_code const& code) noexcept;

} // namespace marjorampath

template <>
struct std::is_error_code_enum<marjorampath::error_kind> : std::true_type
{
};
