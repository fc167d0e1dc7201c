#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath
{

/// The outcome that a trace states for a request.
enum class expected_outcome
{
    /// A complete answer.
    whole,
    /// A refusal; the request did not run.
    not_run,
    /// Any outcome; all other promises still apply.
    any
};

/// Returns the name of an expected outcome: `whole`, `not-run` or `any`.
std::string_view to_string(expected_outcome value) noexcept;

/// Returns the expected outcome with a name, or `std::nullopt` if there is none.
std::optional<expected_outcome> parse_expected_outcome(std::string_view name) noexcept;

/// One recorded request: one line of a trace.
struct trace_request
{
    /// Time from the start of the trace, in milliseconds.
    std::uint64_t at_ms = 0;
    /// Name of the caller.
    std::string caller;
    /// Name of the service, as in the sheet.
    std::string service;
    /// Adapter name; empty for plain services.
    std::string adapter;
    /// `completions`, `chat`, or `METHOD /path` for a plain service.
    std::string operation;
    /// Prompt, or the body for a plain service.
    std::string body;
    /// Largest number of tokens to generate.
    std::uint32_t max_tokens = 0;
    /// Whether the answer is streamed.
    bool stream = false;
    /// Deadline, in milliseconds; zero for the one in the sheet.
    std::uint64_t deadline_ms = 0;
    /// Idempotency key; empty for none.
    std::string key;
    /// Expected outcome.
    expected_outcome expect = expected_outcome::whole;

    /// Whether the request goes to a model engine.
    [[nodiscard]] bool is_model_request() const
    {
        return operation == "completions" || operation == "chat";
    }
};

} // namespace marjorampath
