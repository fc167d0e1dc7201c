#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath::bench
{

/// What an answer turned out to be.
enum class answer_verdict
{
    /// Whole and right.
    whole,
    /// It looks whole but lacks tokens.
    truncated,
    /// Text of another adapter, version or request.
    wrong,
    /// An error that states its kind and outcome.
    error,
    /// Neither an answer nor a clear error.
    lost
};

/// One answer as it was read.
struct path_answer
{
    /// HTTP status; zero where no head came.
    unsigned status = 0;
    /// Whether the message ended as HTTP says.
    bool ended = false;
    /// Whether it is a stream of events.
    bool streamed = false;
    /// Body as far as it came.
    std::string body;
    /// `X-Error-Kind`, or that of an error event.
    std::string kind;
    /// `X-Outcome`, or that of an error event.
    std::string outcome;
};

/// Judges an answer against the text that must come, and fills in kind and outcome of an
/// error event.
answer_verdict judge(path_answer& answer, std::string_view expected);

/// All generated text of a body, of one JSON answer or of events. The stand-in's text has
/// no escaped characters.
std::string generated_text_of(std::string_view body);

} // namespace marjorampath::bench
