#pragma once

#include <marjorampath/request/retry_step.hpp>

namespace marjorampath
{

/// Decides for one request whether to resume, retry or give up after a failed attempt,
/// and tracks whether the request may have run.
///
/// An attempt may have run from just before its first byte is written, unless the
/// endpoint reports that it refused the request. A request of which any attempt may have
/// run is never answered with an error kind whose outcome is `not_run`.
class retry_decision
{
public:
    /// Creates the state of a request that was not sent yet.
    explicit retry_decision(retry_options options) noexcept : options_(options) {}

    /// Called just before an attempt writes its first byte to an endpoint.
    void on_writing() noexcept;

    /// Called when part of the answer was delivered to the caller. `continuable` is true
    /// if another attempt can produce the rest.
    void on_delivered(bool continuable) noexcept;

    /// The grant was refused; this attempt sent nothing.
    retry_step on_grant_refused(error_kind reason, duration retry_after) noexcept;

    /// The connection to the endpoint failed; this attempt sent nothing.
    retry_step on_connect_failed() noexcept;

    /// The endpoint refused the request without running it.
    retry_step on_endpoint_refused() noexcept;

    /// The endpoint rejected the request as invalid and did not run it.
    retry_step on_request_rejected(error_kind kind) noexcept;

    /// The connection was lost, or the answer was incomplete or invalid.
    retry_step on_interrupted(error_kind kind) noexcept;

    /// The endpoint cannot resume the stream.
    retry_step on_resume_refused() noexcept;

    /// The deadline of the request passed.
    [[nodiscard]] retry_step on_deadline() const noexcept;

    /// Whether any attempt may have run.
    [[nodiscard]] bool may_have_run() const noexcept
    {
        return writing_ || earlier_may_have_run_;
    }

private:
    // Gives up with `kind`, or with `endpoint_lost` if the outcome of `kind` is `not_run`
    // and an attempt may have run
    [[nodiscard]] retry_step give_up(error_kind kind,
                                     duration retry_after = {}) const noexcept;

    // Starts another attempt at any endpoint, or gives up if no attempts are left
    [[nodiscard]] retry_step request_new_grant_or_give_up(error_kind kind) noexcept;

    // Starts another attempt after an interrupted one. Gives up if the request is not
    // idempotent, a delivered part cannot be continued, or no attempts are left
    [[nodiscard]] retry_step restart_or_give_up(error_kind kind) noexcept;

    // Options of the request
    retry_options options_;
    // Number of resumptions and new attempts considered so far, also those denied because
    // the limit was reached
    std::uint32_t attempts_ = 0;
    // Whether the current attempt may have run
    bool writing_ = false;
    // Whether an earlier attempt may have run
    bool earlier_may_have_run_ = false;
    // Whether part of the answer was delivered to the caller
    bool delivered_ = false;
    // Whether another attempt can produce the rest of a partly delivered answer
    bool continuable_ = true;
};

} // namespace marjorampath
