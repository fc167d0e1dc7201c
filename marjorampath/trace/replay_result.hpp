#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// One answer to one sending of a traced request.
struct replay_attempt
{
    /// HTTP status; zero where no answer came.
    unsigned status = 0;
    /// Value of `X-Outcome`; empty for an answer without error.
    std::string outcome;
    /// Value of `X-Error-Kind`; empty for an answer without error.
    std::string error_kind;
    /// Value of `X-Request-Id`.
    std::string request_id;
    /// Generated text, or body for a plain service.
    std::string text;
    /// Whether the answer looked complete to the caller.
    bool complete = false;
    /// Time to the first byte of the body, in milliseconds.
    double first_byte_ms = 0.0;
    /// Time to the end of the answer, in milliseconds.
    double total_ms = 0.0;
};

/// All sendings of one traced request.
struct replay_result
{
    /// Index of the request in the trace.
    std::size_t index = 0;
    /// Sendings in order.
    std::vector<replay_attempt> attempts;
};

/// One line of an endpoint's own record of what it ran.
struct endpoint_record
{
    /// Request that ran.
    std::string request_id;
    /// Idempotency key; empty for none.
    std::string key;
    /// Adapter version `ADAPTER@VERSION`; empty for plain services.
    std::string model;
    /// What the endpoint saw that must not be, such as an eviction of a serving adapter.
    std::string violation;
};

} // namespace marjorampath
