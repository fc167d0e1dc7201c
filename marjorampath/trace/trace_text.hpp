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
    /// Line, counted from 1.
    std::size_t line = 0;
    /// Member of the line; empty where the whole line is meant.
    std::string member;
    /// What is wrong.
    std::string text;
};

/// Reads a trace: JSON Lines, one request a line, in rising order of `at_ms`. Unknown
/// members are a problem, so that a misspelt one is not passed over.
std::variant<std::vector<trace_request>, trace_problem> read_trace(std::string_view text);

/// Writes one request as a line of a trace, without the line end.
std::string write_trace_line(trace_request const& request);

} // namespace marjorampath
