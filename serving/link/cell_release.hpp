#pragma once

#include <marjorampath/cell/release_report.hpp>
#include <marjorampath/core/identifier.hpp>

namespace marjorampath::serving
{

/// A release report on its way to the owner of a cell.
struct cell_release
{
    /// The cell.
    resource_id cell;
    /// How the run ended.
    release_report report;
};

} // namespace marjorampath::serving
