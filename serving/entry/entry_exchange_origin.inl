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
        required = co_await await_judgement(context_->judge_versions);
        if (required)
            source = "only_version";
    }
    if (listed && !required && !request_.dispatch_call.parts.empty() && !aborted())
    {
        required = co_await await_judgement(context_->judge_kept_parts);
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
stream_question entry_exchange<Dialect>::make_stream_question() const
{
    // The caller's deadline has run since its first attempt
    auto const& dispatch_call = request_.dispatch_call;
    auto const elapsed =
        request_.matched_route->timeout - (dispatch_call.deadline - begin_);
    return {.service = dispatch_call.service,
            .part = dispatch_call.parts.empty() ? 0 : dispatch_call.parts.back().id,
            .began_after = begin_ - (elapsed > duration{0}
                                         ? elapsed
                                         : context_->times.max_stream_age)};
}

template <entry_dialect Dialect>
boost::asio::awaitable<std::optional<std::string>>
entry_exchange<Dialect>::await_judgement(
    std::function<origin_judgement(stream_question const&)> const& judge)
{
    auto const question = make_stream_question();
    auto const end = boot_now() + context_->times.evidence_timeout;
    auto judgement = judge(question);
    while (judgement.pending && !judgement.software_version && !aborted() &&
           boot_now() < end)
    {
        co_await wait_until_notified(context_->evidence_waiters, question.service,
                                     end - boot_now());
        judgement = judge(question);
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
