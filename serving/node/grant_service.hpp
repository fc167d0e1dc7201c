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

/// Answers grant requests: the cell of this host, or the link to the owner.
///
/// All functions are called on the control thread and do not block. Every request is
/// answered exactly once, with the refusal `owner_unreachable` if the owner does not
/// answer in time; a withdrawn request needs no answer. Each grant is followed by exactly
/// one release.
struct grant_service
{
    /// Requests a grant. The request's deadline refers to this host's clock.
    std::function<void(grant_request const&, grant_callback)> request;
    /// Reports that a granted request no longer runs.
    std::function<void(release_report const&)> release;
    /// Withdraws a request. A grant that was not passed to the callback yet is released
    /// by the service; one that was passed is released by the requester.
    std::function<void(request_id)> withdraw;
};

} // namespace marjorampath::serving
