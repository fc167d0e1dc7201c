#pragma once

namespace marjorampath
{

struct pending_request;

/// Order of requests within a team: priority first, then arrival.
struct request_order
{
    /// Whether one request goes before another.
    bool operator()(pending_request const* left,
                    pending_request const* right) const noexcept;
};

} // namespace marjorampath
