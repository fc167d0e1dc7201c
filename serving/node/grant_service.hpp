#pragma once

#include <marjorampath/cell/cell_action.hpp>
#include <marjorampath/cell/grant_request.hpp>
#include <marjorampath/cell/release_report.hpp>

#include <functional>
#include <variant>

namespace marjorampath::serving
{

/// The answer to a grant request.
using grant_reply = std::variant<grant_action, refuse_action>;

/// Called once with the answer to a grant request, on the control thread.
using grant_callback = std::function<void(grant_reply const&)>;

/// Who answers grant requests: the cell of this host or the link to its owner.
///
/// All functions are called on the control thread and return at once. Every request is
/// answered exactly once, refused with `owner_unreachable` where the owner does not
/// answer in time; a withdrawn request needs no answer. Each grant is followed by one
/// release.
struct grant_service
{
    /// Asks for a grant. The request's deadline is on this host's clock.
    std::function<void(grant_request const&, grant_callback)> request;
    /// Tells that a granted request no longer runs.
    std::function<void(release_report const&)> release;
    /// Gives up on a request that was not answered yet. A grant that was under way is
    /// released by the service.
    std::function<void(request_id)> withdraw;
};

} // namespace marjorampath::serving
