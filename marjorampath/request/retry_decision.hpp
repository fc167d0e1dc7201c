#pragma once

#include <marjorampath/request/retry_step.hpp>

namespace marjorampath
{

/// Decides, for one request, whether an attempt that failed is resumed, repeated or given
/// up on, and keeps account of whether the request may have run.
///
/// An attempt may have run from the moment before its first byte is written, unless the
/// endpoint says that it refused it. A request of which any attempt may have run is never
/// answered by an error kind whose outcome is `not_run`.
class retry_decision
{
public:
    /// Starts the account of a request that was not sent yet.
    explicit retry_decision(retry_options options) noexcept : options_(options) {}

    /// The next attempt is about to write its first byte to an endpoint.
    void on_writing() noexcept;

    /// Part of the answer was delivered to the caller. `continuable` tells whether the
    /// rest can be produced by another attempt.
    void on_delivered(bool continuable) noexcept;

    /// The grant was refused; nothing was sent by this attempt.
    retry_step on_grant_refused(error_kind reason, duration retry_after) noexcept;

    /// No connection to the endpoint could be made; nothing was sent by this attempt.
    retry_step on_connect_failed() noexcept;

    /// The endpoint answered that it does not run the request.
    retry_step on_endpoint_refused() noexcept;

    /// The endpoint found the request itself wrong and did not run it.
    retry_step on_request_rejected(error_kind kind) noexcept;

    /// The connection failed, or the answer ended early or was not understood.
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
    // Gives up with a kind whose outcome holds for all attempts
    [[nodiscard]] retry_step give_up(error_kind kind,
                                     duration retry_after = {}) const noexcept;

    // Another attempt at any endpoint, or giving up where the attempts are used up
    [[nodiscard]] retry_step request_new_grant_or_give_up(error_kind kind) noexcept;

    // Another attempt after one that may have run
    [[nodiscard]] retry_step restart_or_give_up(error_kind kind) noexcept;

    // Kind of request
    retry_options options_;
    // Attempts that ended
    std::uint32_t attempts_ = 0;
    // Whether the current attempt may have run
    bool writing_ = false;
    // Whether an earlier attempt may have run
    bool earlier_may_have_run_ = false;
    // Whether the caller has part of the answer
    bool delivered_ = false;
    // Whether the rest of a partly delivered answer can be produced
    bool continuable_ = true;
};

} // namespace marjorampath
