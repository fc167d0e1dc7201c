#pragma once

namespace marjorampath
{

struct pending_request;

/// Sort predicate: the requests of a team by priority, then by arrival.
struct request_order
{
    /// Whether `left` is served before `right`.
    bool operator()(pending_request const* left,
                    pending_request const* right) const noexcept;
};

} // namespace marjorampath
