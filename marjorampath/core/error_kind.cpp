#include <marjorampath/core/error_kind.hpp>

#include <array>
#include <cassert>
#include <cstddef>
#include <string>

namespace marjorampath
{

namespace
{

using enum error_kind;

// Answers by error kind, in the order of the enumerators
constexpr std::array error_answers{
    error_answer{none, "none", 200, outcome::ran, false, "The request was served."},
    error_answer{malformed_request, "malformed-request", 400, outcome::not_run, false,
                 "The request could not be understood."},
    error_answer{head_too_large, "head-too-large", 431, outcome::not_run, false,
                 "The head of the request is too large."},
    error_answer{body_too_large, "body-too-large", 413, outcome::not_run, false,
                 "The body of the request is too large."},
    error_answer{no_such_route, "no-such-route", 404, outcome::not_run, false,
                 "There is no such path or method."},
    error_answer{unknown_service, "unknown-service", 404, outcome::not_run, false,
                 "The sheet names no such service."},
    error_answer{unknown_adapter, "unknown-adapter", 404, outcome::not_run, false,
                 "The sheet assigns no such adapter to this service."},
    error_answer{unauthorized, "unauthorized", 401, outcome::not_run, false,
                 "The credentials are missing or not accepted."},
    error_answer{forbidden, "forbidden", 403, outcome::not_run, false,
                 "The role does not allow this."},
    error_answer{no_sheet, "no-sheet", 503, outcome::not_run, true,
                 "No sheet is in force yet."},
    error_answer{deadline_unreachable, "deadline-unreachable", 503, outcome::not_run,
                 true, "The deadline cannot be met."},
    error_answer{deadline_exceeded, "deadline-exceeded", 504, outcome::unknown, false,
                 "The deadline passed while the request was running."},
    error_answer{queue_full, "queue-full", 429, outcome::not_run, true,
                 "The queue is full."},
    error_answer{no_endpoint, "no-endpoint", 503, outcome::not_run, true,
                 "No endpoint can take the request now."},
    error_answer{load_failed, "load-failed", 503, outcome::not_run, true,
                 "The adapter could not be loaded."},
    error_answer{quarantined, "quarantined", 422, outcome::not_run, false,
                 "This request crashed endpoints before and is refused."},
    error_answer{endpoint_refused, "endpoint-refused", 502, outcome::not_run, true,
                 "The endpoint refused the request."},
    error_answer{endpoint_lost, "endpoint-lost", 502, outcome::unknown, false,
                 "The endpoint failed while the request was running."},
    error_answer{endpoint_protocol, "endpoint-protocol", 502, outcome::unknown, false,
                 "The answer of the endpoint was not understood."},
    error_answer{shutting_down, "shutting-down", 503, outcome::not_run, true,
                 "This host is shutting down."},
    error_answer{owner_unreachable, "owner-unreachable", 503, outcome::not_run, true,
                 "The host that decides about this request cannot be reached."},
    error_answer{caller_gone, "caller-gone", 499, outcome::unknown, false,
                 "The caller closed its connection."},
    error_answer{configuration_unconfirmed, "configuration-unconfirmed", 503,
                 outcome::not_run, true,
                 "This host cannot confirm its configuration now."},
    error_answer{quota_exceeded, "quota-exceeded", 429, outcome::not_run, true,
                 "The organisation has used its quota."},
    error_answer{request_timeout, "request-timeout", 408, outcome::not_run, false,
                 "The request was not received in time."},
    error_answer{host_full, "host-full", 503, outcome::not_run, true,
                 "This host holds too much for others now."},
    error_answer{internal, "internal", 500, outcome::unknown, false,
                 "A defect of this program."},
};

static_assert(error_answers.size() == static_cast<std::size_t>(internal) + 1);

class error_kind_category_type final : public std::error_category
{
public:
    [[nodiscard]] char const* name() const noexcept override
    {
        return "marjorampath";
    }

    [[nodiscard]] std::string message(int value) const override
    {
        return std::string(answer_of(static_cast<error_kind>(value)).text);
    }
};

} // namespace

error_answer const& answer_of(error_kind kind) noexcept
{
    auto const& row = error_answers.at(static_cast<std::size_t>(kind));
    assert(row.kind == kind);
    return row;
}

std::span<error_answer const> all_error_answers() noexcept
{
    return error_answers;
}

std::error_category const& error_kind_category() noexcept
{
    static error_kind_category_type const category;
    return category;
}

std::error_code make_error_code(error_kind kind) noexcept
{
    return {static_cast<int>(kind), error_kind_category()};
}

error_kind kind_of(std::error_code const& code) noexcept
{
    if (code.category() != error_kind_category())
        return code ? error_kind::internal : error_kind::none;
    return static_cast<error_kind>(code.value());
}

} // namespace marjorampath
