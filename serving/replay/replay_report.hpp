#pragma once

#include <marjorampath/trace/promise.hpp>
#include <marjorampath/trace/replay_result.hpp>
#include <marjorampath/trace/trace_request.hpp>

#include <array>
#include <cstddef>
#include <filesystem>
#include <map>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace marjorampath::serving
{

/// Results of a replay.
struct replay_summary
{
    /// Number of requests in the trace.
    std::size_t requests = 0;
    /// Number of times that requests were sent, including repeated sends by callers.
    std::size_t sendings = 0;
    /// Number of requests whose last answer was complete and not an error.
    std::size_t whole = 0;
    /// Number of requests by the status, error kind and outcome of the last answer.
    std::map<std::string, std::size_t> answers;
    /// Times to the first byte of complete answers, in milliseconds, ascending.
    std::vector<double> first_byte_ms;
    /// Times to the end of complete answers, in milliseconds, ascending.
    std::vector<double> total_ms;
    /// Number of broken promises by kind.
    std::array<std::size_t, promise_count> broken{};
};

/// Summarises a replay.
replay_summary summarise(std::span<trace_request const> trace,
                         std::span<replay_result const> results,
                         std::span<broken_promise const> broken);

/// The quantile of ascending values for a fraction from 0 to 1, without interpolation;
/// zero without values.
double quantile(std::span<double const> ascending, double fraction);

/// Writes `summary.json` and `report.html`, which has plots, into a folder; creates the
/// folder if needed.
std::error_code write_replay_report(std::filesystem::path const& folder,
                                    replay_summary const& summary,
                                    std::span<broken_promise const> broken);

} // namespace marjorampath::serving
