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

/// What a replay showed.
struct replay_summary
{
    /// Requests of the trace.
    std::size_t requests = 0;
    /// Sendings, with those of callers that sent again.
    std::size_t sendings = 0;
    /// Requests whose last answer was whole.
    std::size_t whole = 0;
    /// Last answers by status and error kind.
    std::map<std::string, std::size_t> answers;
    /// Times to the first byte of whole answers, in milliseconds, rising.
    std::vector<double> first_byte_ms;
    /// Times to the end of whole answers, in milliseconds, rising.
    std::vector<double> total_ms;
    /// Broken promises by kind.
    std::array<std::size_t, promise_count> broken{};
};

/// Sums a replay up.
replay_summary summarise(std::span<trace_request const> trace,
                         std::span<replay_result const> results,
                         std::span<broken_promise const> broken);

/// The value below which a share of rising values lies; zero without values.
double quantile(std::span<double const> rising, double share);

/// Writes `summary.json` and `report.html` with plots into a folder, which is made.
std::error_code write_replay_report(std::filesystem::path const& folder,
                                    replay_summary const& summary,
                                    std::span<broken_promise const> broken);

} // namespace marjorampath::serving
