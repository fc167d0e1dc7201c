#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath::bench
{

/// Result of checking an answer.
enum class answer_verdict
{
    /// Complete, with the expected text.
    whole,
    /// Ended without an error, but with fewer tokens than expected.
    truncated,
    /// Contains text of another adapter, version or request.
    wrong,
    /// An error with its kind and outcome.
    error,
    /// Neither a complete answer nor an error with kind and outcome.
    lost
};

/// One received answer.
struct path_answer
{
    /// HTTP status; zero if no response head was received.
    unsigned status = 0;
    /// Whether the HTTP message is complete.
    bool ended = false;
    /// Whether the body is an event stream.
    bool streamed = false;
    /// Received part of the body.
    std::string body;
    /// Value of `X-Error-Kind`, or the kind in an error event.
    std::string kind;
    /// Value of `X-Outcome`, or the outcome in an error event.
    std::string outcome;
};

/// Compares an answer with the expected text. Sets its kind and outcome from an error
/// event, if there is one.
answer_verdict check_answer(path_answer& answer, std::string_view expected);

/// Returns all generated text in a body, which is a JSON answer or an event stream. JSON
/// escapes are not decoded, since the stand-in's text has none.
std::string extract_generated_text(std::string_view body);

} // namespace marjorampath::bench
