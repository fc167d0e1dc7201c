#include <marjorampath/request/retry_decision.hpp>

namespace marjorampath
{

void retry_decision::on_writing() noexcept
{
    writing_ = true;
}

void retry_decision::on_delivered(bool continuable) noexcept
{
    delivered_ = true;
    continuable_ = continuable;
}

retry_step retry_decision::on_grant_refused(error_kind reason,
                                            duration retry_after) noexcept
{
    return give_up(reason, retry_after);
}

retry_step retry_decision::on_connect_failed() noexcept
{
    return request_new_grant_or_give_up(error_kind::no_endpoint);
}

retry_step retry_decision::on_endpoint_refused() noexcept
{
    // The endpoint's word proves that this attempt did not run
    writing_ = false;
    return request_new_grant_or_give_up(error_kind::endpoint_refused);
}

retry_step retry_decision::on_request_rejected(error_kind kind) noexcept
{
    writing_ = false;
    return give_up(kind);
}

retry_step retry_decision::on_interrupted(error_kind kind) noexcept
{
    earlier_may_have_run_ = earlier_may_have_run_ || writing_;
    writing_ = false;

    // The same run goes on where the endpoint still has it
    if (options_.resumable && delivered_ && ++attempts_ < options_.max_attempts)
        return {.act = retry_action::resume, .kind = error_kind::none};
    return restart_or_give_up(kind);
}

retry_step retry_decision::on_resume_refused() noexcept
{
    earlier_may_have_run_ = true;
    writing_ = false;
    return restart_or_give_up(error_kind::endpoint_lost);
}

retry_step retry_decision::on_deadline() const noexcept
{
    return give_up(may_have_run() ? error_kind::deadline_exceeded
                                  : error_kind::deadline_unreachable);
}

retry_step retry_decision::give_up(error_kind kind, duration retry_after) const noexcept
{
    auto const claims_not_run = answer_of(kind).result == outcome::not_run;
    if (claims_not_run && may_have_run())
        return {.act = retry_action::give_up, .kind = error_kind::endpoint_lost};
    return {.act = retry_action::give_up, .kind = kind, .retry_after = retry_after};
}

retry_step retry_decision::request_new_grant_or_give_up(error_kind kind) noexcept
{
    if (++attempts_ >= options_.max_attempts)
        return give_up(kind);
    return {.act = retry_action::request_new_grant, .kind = error_kind::none};
}

retry_step retry_decision::restart_or_give_up(error_kind kind) noexcept
{
    auto const allowed = options_.idempotent && (!delivered_ || continuable_);
    return allowed ? request_new_grant_or_give_up(kind) : give_up(kind);
}

} // namespace marjorampath
