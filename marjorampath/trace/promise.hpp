#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace marjorampath
{

/// The promises to callers that a replay verifies.
enum class promise
{
    /// The request ran on the adapter and version that the sheet assigns.
    right_adapter,
    /// The caller received the complete answer to its own request.
    whole_answer,
    /// An operation that is not idempotent ran at most once.
    at_most_once,
    /// A request that was answered `not-run` did not run.
    not_run_true,
    /// Every request was answered.
    answered,
    /// The outcome was the one that the trace states.
    stated_outcome,
    /// No adapter was evicted while it served a request.
    no_serving_eviction
};

/// Number of promises.
inline constexpr std::size_t promise_count = 7;

/// Returns the name of a promise as used in reports.
std::string_view to_string(promise value) noexcept;

/// A single violation of a promise.
struct broken_promise
{
    /// The violated promise.
    promise which = promise::answered;
    /// Line of the request in the trace, counted from 1; zero if the violation does not
    /// concern a single request.
    std::size_t line = 0;
    /// Description of the violation.
    std::string text;
};

} // namespace marjorampath
