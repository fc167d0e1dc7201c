#pragma once

#include <marjorampath/cell/endpoint_report.hpp>

#include <optional>
#include <string_view>

namespace marjorampath::serving
{

/// Reads the answer of an engine to `GET /load` into a report; what the engine does not
/// tell stays as it was in `listed`. Nothing where the document is malformed.
std::optional<endpoint_report> read_load_report(std::string_view document,
                                                endpoint_report const& listed);

} // namespace marjorampath::serving
