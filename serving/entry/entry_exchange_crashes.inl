namespace marjorampath::serving
{

template <entry_dialect Dialect>
boost::asio::awaitable<bool> entry_exchange<Dialect>::refuse_convicted()
{
    auto const now = boot_now();
    auto const& dispatch_call = request_.dispatch_call;
    if (context_->suspects.check_restriction(now, dispatch_call.fingerprint) ==
        run_restriction::convicted)
    {
        co_await conclude_failed(error_kind::quarantined, {});
        co_return true;
    }
    auto const conviction =
        context_->parts.find_conviction(shared_parts(dispatch_call), now);
    if (!conviction)
        co_return false;
    log_event(event::part_refused, "request", request_.caller_attempt_id, "part",
              fmt::format("{:x}", conviction->part), "sends", sends_);
    co_await conclude_failed(error_kind::quarantined, conviction->remaining);
    co_return true;
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::note_reach(attempt_end end)
{
    auto const failed = end == attempt_end::unreachable || end == attempt_end::lost ||
                        end == attempt_end::timed_out;
    if (failed && !endpoint_answered_)
        context_->reach.on_failed(request_.dispatch_call.service, boot_now());
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::note_parts(endpoint_announcement const& endpoint,
                                         attempt_end end)
{
    auto const now = boot_now();
    auto const parts = shared_parts(request_.dispatch_call);

    // The rest of a stream may be too short to crash its endpoint
    auto const whole =
        end == attempt_end::finished && answer_framed_ && attempt_after_event_ == 0;
    if (whole ||
        (answer_started_ && now - first_events_at_ >= context_->times.sound_answer_time))
    {
        context_->parts.on_sound(parts, now);
        return;
    }
    if (parts.empty() || (end != attempt_end::lost && end != attempt_end::invalid_answer))
        return;
    context_->parts.on_broken(parts, crash_id(endpoint.id, endpoint.started_at_ms), now);
    context_->check_endpoint(endpoint);
}

} // namespace marjorampath::serving
