namespace marjorampath::serving
{

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::find_origin()
{
    // What a host remembers goes first: this host may not have listed a new version yet
    origin_finding found;
    auto source = "record";
    if (!request_.resumed_attempt.empty())
        found = co_await query_origin();
    auto const is_open = [&]
    { return found.result != origin_result::proved && !aborted(); };
    auto const listed = is_open() && co_await await_listing();
    if (listed)
    {
        source = "only_version";
        found = co_await await_finding(context_->judge_versions);
    }
    if (listed && is_open() && !request_.dispatch_call.parts.empty())
    {
        source = "kept_prompt";
        found = co_await await_finding(context_->judge_kept_parts);
    }
    auto const proved = found.result == origin_result::proved;
    log_event(event::stream_resumed, "request", request_.caller_attempt_id, "resumes",
              request_.resumed_attempt, "after_event", request_.last_event, "source",
              proved ? source : "none", "listed", listed, "software",
              found.software_version, "result", to_string(found.result), "told_age_ms",
              (begin_ - make_stream_question().begin.told_earliest).count() / 1'000'000,
              "after_ms", (boot_now() - begin_).count() / 1'000'000);
    if (proved)
        request_.dispatch_call.software_version = found.software_version;
    else if (!aborted())
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
    auto const& dispatch_call = request_.dispatch_call;
    return {.service = dispatch_call.service,
            .part = dispatch_call.parts.empty() ? 0 : dispatch_call.parts.back().id,
            .begin = bound_stream_begin({.arrived = begin_,
                                         .time_left = dispatch_call.deadline - begin_,
                                         .timeout = request_.matched_route->timeout},
                                        context_->times.max_stream_age)};
}

template <entry_dialect Dialect>
boost::asio::awaitable<origin_finding> entry_exchange<Dialect>::await_finding(
    std::function<origin_finding(stream_question const&)> const& judge)
{
    auto const question = make_stream_question();
    auto const end = boot_now() + context_->times.evidence_timeout;
    auto found = judge(question);
    while (found.result == origin_result::pending && !aborted() && boot_now() < end)
    {
        co_await wait_until_notified(context_->evidence_waiters, question.service,
                                     std::min(end, found.recheck) - boot_now());
        found = judge(question);
    }
    co_return found;
}

template <entry_dialect Dialect>
boost::asio::awaitable<origin_finding> entry_exchange<Dialect>::query_origin()
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
    if (!known)
        co_return origin_finding{};
    co_return origin_finding{.result = origin_result::proved, .software_version = *known};
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
