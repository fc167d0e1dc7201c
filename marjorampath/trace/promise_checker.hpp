#pragma once

#include <marjorampath/sheet/sheet.hpp>
#include <marjorampath/trace/promise.hpp>
#include <marjorampath/trace/replay_result.hpp>
#include <marjorampath/trace/trace_request.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath
{

/// Returns the text that endpoints generate for an adapter version (`ADAPTER@VERSION`), a
/// prompt and a token limit.
using expected_text =
    std::function<std::string(std::string_view, std::string_view, std::uint32_t)>;

/// Inputs for the verification of a replay. Referenced objects must outlive it.
struct promise_checker_inputs
{
    /// Sheet that was in force during the replay.
    sheet const& in_force;
    /// Requests of the trace.
    std::span<trace_request const> trace;
    /// Answers that callers received, one result for each request.
    std::span<replay_result const> results;
    /// Requests that endpoints ran.
    std::span<endpoint_record const> records;
    /// Returns the text that endpoints generate.
    expected_text text;
};

/// Verifies a replay against all promises and returns every violation.
std::vector<broken_promise> check_replay(promise_checker_inputs const& inputs);

} // namespace marjorampath
