#pragma once

#include <marjorampath/cell/endpoint_report.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::serving
{

/// An engine's answer to `GET /load`.
struct load_report
{
    /// The report for the cell.
    endpoint_report endpoint;
    /// Adapter versions that the engine holds, as `ADAPTER@VERSION`, in the order of
    /// `endpoint.resident`. Includes versions that are no longer in any sheet.
    std::vector<std::string> resident_names;
};

/// Parses an engine's answer to `GET /load`. Fields that are missing keep the value of
/// `listed`; only `adapters` is required. Returns nothing if the document is malformed.
std::optional<load_report> read_load_report(std::string_view document,
                                            endpoint_report const& listed);

} // namespace marjorampath::serving
