#pragma once

#include <marjorampath/cell/grant_request.hpp>
#include <marjorampath/core/identifier.hpp>

namespace marjorampath::serving
{

/// Message that carries a grant request to the owner of a cell.
struct cell_grant_request
{
    /// The cell.
    resource_id cell;
    /// The request; its deadline is on the local clock of the host that holds this
    /// object.
    grant_request request;
};

} // namespace marjorampath::serving
