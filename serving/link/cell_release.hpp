#pragma once

#include <marjorampath/cell/release_report.hpp>
#include <marjorampath/core/identifier.hpp>

namespace marjorampath::serving
{

/// Message that carries a release report to the owner of a cell.
struct cell_release
{
    /// The cell.
    resource_id cell;
    /// The released grant and how its request ended.
    release_report report;
};

} // namespace marjorampath::serving
