#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace marjorampath
{

/// The promises that a replay judges.
enum class promise
{
    /// The request ran on the adapter and version that the sheet assigns.
    right_adapter,
    /// The caller got the whole answer to its own request.
    whole_answer,
    /// An operation that is not idempotent ran at most once.
    at_most_once,
    /// A request that was answered `not-run` did not run.
    not_run_true,
    /// Every request got an answer.
    answered,
    /// The answer was of the kind that the trace states.
    stated_outcome,
    /// No adapter was evicted while it served a request.
    no_serving_eviction
};

/// Number of promises.
inline constexpr std::size_t promise_count = 7;

/// The name of a promise, as it stands in reports.
std::string_view to_string(promise value) noexcept;

/// One case in which a promise was broken.
struct broken_promise
{
    /// The promise.
    promise which = promise::answered;
    /// Line of the trace, counted from 1; zero where it is not one request.
    std::size_t line = 0;
    /// What was seen.
    std::string text;
};

} // namespace marjorampath
