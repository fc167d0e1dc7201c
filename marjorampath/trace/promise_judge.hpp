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

/// The text that endpoints are known to generate: adapter version, prompt and largest
/// number of tokens to text.
using expected_text =
    std::function<std::string(std::string_view, std::string_view, std::uint32_t)>;

/// What a replay is judged by.
struct promise_checker_inputs
{
    /// Sheet that was in force.
    sheet const& in_force;
    /// Requests.
    std::span<trace_request const> trace;
    /// What callers got, one for each request.
    std::span<replay_result const> results;
    /// What endpoints ran.
    std::span<endpoint_record const> records;
    /// Text that endpoints generate.
    expected_text text;
};

/// Judges a replay against the promises and returns every broken one.
std::vector<broken_promise> check_replay(promise_checker_inputs const& inputs);

} // namespace marjorampath
