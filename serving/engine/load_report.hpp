#pragma once

#include <marjorampath/cell/endpoint_report.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::serving
{

/// What an engine answers to `GET /load`.
struct load_report
{
    /// What the cell is told.
    endpoint_report endpoint;
    /// Names `ADAPTER@VERSION` of the adapter versions that the engine holds, in the
    /// order of `endpoint.resident`. They include versions that no sheet names any more.
    std::vector<std::string> resident_names;
};

/// Reads the answer of an engine to `GET /load`; what the engine does not tell stays as
/// it was in `listed`. Nothing where the document is malformed.
std::optional<load_report> read_load_report(std::string_view document,
                                            endpoint_report const& listed);

} // namespace marjorampath::serving
