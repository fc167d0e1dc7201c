namespace marjorampath::serving
{

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::find_origin()
{
    // What a host remembers goes first: this host may not have listed a new version yet
    auto& required = request_.dispatch_call.software_version;
    if (!request_.resumed_attempt.empty())
        required = co_await query_origin();
    auto source = required ? "record" : "none";
    auto const listed = !required && co_await await_listing();
    if (listed)
    {
        required = context_->only_software_version(request_.dispatch_call.service);
        if (required)
            source = "only_version";
    }
    if (listed && !required && !request_.dispatch_call.parts.empty() && !aborted())
    {
        required = co_await judge_origin();
        if (required)
            source = "kept_prompt";
    }
    log_event(event::stream_resumed, "request", request_.caller_attempt_id, "resumes",
              request_.resumed_attempt, "after_event", request_.last_event, "source",
              source, "listed", listed, "software", required.value_or(std::string()));
    if (!required && !aborted())
        co_await conclude_failed(error_kind::no_endpoint, {});
}

template <entry_dialect Dialect>
boost::asio::awaitable<bool> entry_exchange<Dialect>::await_listing()
{
    auto const end = boot_now() + context_->times.listing_timeout;
    while (!aborted() && boot_now() < end)
    {
        if (context_->request_listing(begin_))
            co_return true;
        co_await wait_until_notified(context_->listing_waiters,
                                     request_.dispatch_call.service, end - boot_now());
    }
    co_return false;
}

template <entry_dialect Dialect>
boost::asio::awaitable<std::optional<std::string>> entry_exchange<Dialect>::judge_origin()
{
    // The caller's deadline has run since its first attempt
    auto const& dispatch_call = request_.dispatch_call;
    auto const elapsed =
        request_.matched_route->timeout - (dispatch_call.deadline - begin_);
    stream_question const question{
        .service = dispatch_call.service,
        .part = dispatch_call.parts.back().id,
        .began_after =
            begin_ - (elapsed > duration{0} ? elapsed : context_->times.max_stream_age)};
    auto judgement = context_->judge_origin(question);
    if (judgement.pending && !judgement.software_version)
    {
        co_await wait_until_notified(context_->evidence_waiters, question.service,
                                     context_->times.evidence_timeout);
        judgement = context_->judge_origin(question);
    }
    co_return judgement.software_version;
}

template <entry_dialect Dialect>
boost::asio::awaitable<std::optional<std::string>> entry_exchange<Dialect>::query_origin()
{
    auto const stream = stream_id::of(request_.resumed_attempt);
    auto const number = context_->origin_replies.next_number();
    auto known = context_->find_stream(stream, number);
    if (!known)
    {
        co_await wait_until_notified(context_->origin_replies.waiters, number,
                                     context_->times.origin_timeout);
        if (auto const reply = context_->origin_replies.take(number))
            known = reply->software_version;
    }
    co_return known;
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::pin_software_version()
{
    auto& required = request_.dispatch_call.software_version;
    if (!required)
        required = current_software_version_;
    if (request_.dispatch_call.kind != call_kind::continuable_stream)
        return;

    // The caller names the attempt that received the first event if it continues the
    // stream elsewhere
    auto const& first =
        request_.last_event == 0 ? request_.caller_attempt_id : request_.resumed_attempt;
    if (first.empty())
        return;
    open_stream_ = stream_id::of(first);
    context_->remember_stream({.stream = *open_stream_, .software_version = *required});
}

} // namespace marjorampath::serving
