#pragma once

#include <marjorampath/cell/grant_request.hpp>
#include <marjorampath/core/identifier.hpp>

namespace marjorampath::serving
{

/// A grant request on its way to the owner of a cell.
struct cell_grant_request
{
    /// The cell.
    resource_id cell;
    /// The question; its deadline is on the clock of the host that holds it.
    grant_request question;
};

} // namespace marjorampath::serving
