#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// The next action for a request whose attempt ended without a complete answer.
enum class retry_action
{
    /// Request a new grant, which may be at any endpoint; the delivered part of the
    /// answer is kept.
    request_new_grant,
    /// Resume the stream at the same endpoint, after the last delivered event.
    resume,
    /// Give up and answer the caller with an error.
    give_up
};

/// The decision after an attempt that ended without a complete answer.
struct retry_step
{
    /// The next action.
    retry_action action = retry_action::give_up;
    /// Error to answer the caller with if `action` is `give_up`.
    error_kind kind = error_kind::internal;
    /// Suggested delay before the caller retries; zero if unknown.
    duration retry_after{0};
};

/// Properties of a request that determine whether it may be retried.
struct retry_options
{
    /// Whether the request may be run more than once.
    bool idempotent = false;
    /// Whether the endpoint can resume a stream.
    bool resumable = false;
    /// Maximum number of attempts, including resumptions.
    std::uint32_t max_attempts = 4;
};

} // namespace marjorampath
