#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// The answer to one attempt of a traced request.
struct replay_attempt
{
    /// HTTP status; zero if there was no answer.
    unsigned status = 0;
    /// Value of `X-Outcome`; empty for a successful answer.
    std::string outcome;
    /// Value of `X-Error-Kind`; empty for a successful answer.
    std::string error_kind;
    /// Value of `X-Request-Id`.
    std::string request_id;
    /// Generated text, or the body for a plain service.
    std::string text;
    /// Whether the answer was complete as far as the caller could see.
    bool complete = false;
    /// Time to the first byte of the body, in milliseconds.
    double first_byte_ms = 0.0;
    /// Time to the end of the answer, in milliseconds.
    double total_ms = 0.0;
};

/// All attempts of one traced request.
struct replay_result
{
    /// Index of the request in the trace.
    std::size_t index = 0;
    /// Attempts in order.
    std::vector<replay_attempt> attempts;
};

/// One line of an endpoint's record of the requests that it ran.
struct endpoint_record
{
    /// Identifier of the request that ran.
    std::string request_id;
    /// Idempotency key; empty for none.
    std::string key;
    /// Adapter version `ADAPTER@VERSION`; empty for plain services.
    std::string model;
    /// Violation that the endpoint detected, such as the eviction of a serving adapter;
    /// empty for none.
    std::string violation;
};

} // namespace marjorampath
