#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// What is done next with a request whose attempt ended without a whole answer.
enum class retry_action
{
    /// Ask for a grant at another endpoint; what was delivered so far is kept.
    request_new_grant,
    /// Continue the stream at the same endpoint, behind the last delivered event.
    resume,
    /// Give up and tell the caller.
    give_up
};

/// The decision about an attempt that ended without a whole answer.
struct retry_step
{
    /// What is done next.
    retry_action act = retry_action::give_up;
    /// Error that the caller is told where the request is given up on.
    error_kind kind = error_kind::internal;
    /// Time after which asking again is worthwhile; zero where it is not known.
    duration retry_after{0};
};

/// What kind of request the decisions are about.
struct retry_options
{
    /// Whether the request may run again after it may have run.
    bool idempotent = false;
    /// Whether the endpoint can resume a stream.
    bool resumable = false;
    /// Largest number of attempts, resumptions included.
    std::uint32_t max_attempts = 4;
};

} // namespace marjorampath
