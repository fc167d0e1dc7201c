#pragma once

#include <marjorampath/trace/trace_request.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjorampath
{

/// Why a trace was rejected.
struct trace_problem
{
    /// Line of the trace, counted from 1.
    std::size_t line = 0;
    /// JSON member; empty if the problem concerns the whole line.
    std::string member;
    /// Description of the problem.
    std::string text;
};

/// Parses a trace: JSON Lines, one request per line, in ascending order of `at_ms`.
/// Unknown members are rejected, so that a misspelt one is not ignored.
std::variant<std::vector<trace_request>, trace_problem> read_trace(std::string_view text);

/// Formats a request as one line of a trace, without the newline.
std::string write_trace_line(trace_request const& request);

} // namespace marjorampath
