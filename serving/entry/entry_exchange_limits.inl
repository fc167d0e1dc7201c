namespace marjorampath::serving
{

template <entry_dialect Dialect>
boost::asio::awaitable<void>
entry_exchange<Dialect>::attempt_with_permit(endpoint_announcement endpoint)
{
    if (context_->rate_limits.limit_of(endpoint.id))
    {
        if (!co_await acquire_permit(endpoint))
            co_return;

        // The endpoint may have left while the permit was awaited
        auto const* present = context_->dispatch.find(endpoint.id);
        if (aborted() || !present || present->announced.draining)
            co_return;
    }
    co_await attempt(std::move(endpoint));
}

template <entry_dialect Dialect>
boost::asio::awaitable<bool>
entry_exchange<Dialect>::acquire_permit(endpoint_announcement const& endpoint)
{
    auto const number = context_->permit_replies.next_number();
    auto reply = context_->request_permit(endpoint.id, number);
    if (!reply)
    {
        co_await wait_until_notified(context_->permit_replies.waiters, number,
                                     context_->times.permit_timeout);
        reply = context_->permit_replies.take(number);
    }
    context_->metrics.count(permits_metric, "result",
                            !reply           ? "no_reply"
                            : reply->granted ? "granted"
                                             : "refused");
    if (reply && reply->granted)
        co_return true;

    auto const wait = reply ? reply->wait : context_->times.permit_retry_pause;
    log_event(event::permit_refused, "request", request_.caller_attempt_id, "endpoint",
              endpoint.name, "limit",
              context_->rate_limits.limit_of(endpoint.id).value_or(no_rate_limit),
              "replied", reply.has_value(), "wait_ms", wait.count() / 1'000'000);
    context_->dispatch.on_permit_refused(endpoint.id, boot_now() + wait);
    if (++refused_permits_ >= max_refused_permits)
        co_await conclude_failed(error_kind::no_endpoint, wait);
    co_return false;
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::note_requested_pause(endpoint_announcement const& endpoint,
                                                   answer_reader::head const& head)
{
    using field_state = named_rate_limit::field_state;
    auto const named = Dialect::requested_pause(head);
    if (named.state == field_state::invalid)
        log_event(event::endpoint_field_ignored, "endpoint", endpoint.name, "field",
                  "pause");
    if (named.state != field_state::valid)
        return;
    log_event(event::pause_requested, "endpoint", endpoint.name, "pause_ms",
              named.time.count() / 1'000'000, "request", request_.caller_attempt_id);
    context_->dispatch.on_pause_requested(endpoint.id, endpoint.started_at_ms,
                                          boot_now() + named.time);
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::note_rate_limit(endpoint_announcement const& endpoint,
                                              answer_reader::head const& head)
{
    using field_state = named_rate_limit::field_state;
    auto const named = Dialect::rate_limit(head);
    if (named.state == field_state::invalid)
    {
        log_event(event::endpoint_field_ignored, "endpoint", endpoint.name, "field",
                  "rate_limit");
        return;
    }
    auto const now = boot_now();
    rate_limit_notice notice{.endpoint = endpoint.id,
                             .started_at_ms = endpoint.started_at_ms};
    if (named.state == field_state::valid)
        notice.rate = named.rate;
    else
        notice.age = now - sent_at_;
    if (!context_->apply_rate_limit(notice, now))
        return;
    log_event(event::rate_limit_changed, "endpoint", endpoint.name, "limit",
              notice.rate.value_or(no_rate_limit), "source", "answer", "request",
              request_.caller_attempt_id);
    context_->report_rate_limit(notice);
}

} // namespace marjorampath::serving
