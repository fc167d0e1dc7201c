namespace marjorampath::serving
{

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::run()
{
    begin_ = boot_now();
    context_->metrics.shard.number(requests_metric).add();
    auto read = Dialect::read_request(*message_, context_->routes, begin_);
    if (auto const* kind = std::get_if<error_kind>(&read))
    {
        request_.caller_attempt_id = Dialect::caller_attempt_id(*message_);
        co_await reject(*kind, context_->routes ? duration{0} : std::chrono::seconds(1));
        co_return;
    }
    request_ = std::move(std::get<entry_request>(read));
    if (auto const refusal = check_access(); refusal != error_kind::none)
        co_return co_await reject(refusal, context_->times.retry_pause);
    if (!fits_before_shutdown())
        co_return co_await reject(error_kind::shutting_down,
                                  context_->times.shutdown_retry_pause);
    if (auto const wait = take_quota())
        co_return co_await reject(error_kind::quota_exceeded, *wait);
    events_ = event_splitter({.last_id = request_.last_event});
    auto const budget = context_->budgets.find(request_.dispatch_call.service);
    if (budget != context_->budgets.end() && !forwarded_here_)
        budget->second.on_request(begin_);

    auto* session = session_;
    control_ = std::make_shared<exchange_control>(context_->callers.loop.get_executor(),
                                                  [session] { session->cancel_write(); });
    control_->start_deadline(request_.dispatch_call.deadline - begin_);
    context_->open_exchanges.insert(control_);
    session_->watch_disconnect([control = control_]
                               { control->abort(error_kind::caller_gone); });
    if (request_.last_event != 0 && is_stream(request_.dispatch_call.kind))
        co_await find_origin();
    while (!concluded_)
        co_await step();
    release_connections();
    give_back_quota();
    if (open_stream_)
        context_->forget_open_stream(*open_stream_);
    session_->unwatch_disconnect();
    context_->open_exchanges.erase(control_);
    control_->finish();
}

template <entry_dialect Dialect>
bool entry_exchange<Dialect>::fits_before_shutdown() const
{
    if (!context_->ends_requests_at)
        return true;
    auto const& request = request_.dispatch_call;
    auto const expected = context_->measured_times.expected(request.service, request.kind,
                                                            request.objective);
    return begin_ + expected <= *context_->ends_requests_at;
}

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::step()
{
    if (aborted())
    {
        co_await conclude_aborted();
        co_return;
    }
    if (co_await refuse_convicted())
        co_return;
    if (auto const refusal = check_access();
        refusal != error_kind::none && !head_sent_)
        co_return co_await conclude_failed(refusal, context_->times.retry_pause);
    if (begun_by_peer_ || context_->reach.is_cut(request_.dispatch_call.service))
    {
        if (auto const peer = choose_peer())
        {
            co_await forward(*peer);
            co_return;
        }
        if (begun_by_peer_)
        {
            co_await conclude_failed(error_kind::endpoint_lost, {});
            co_return;
        }
    }
    auto const now = boot_now();
    auto const decision =
        context_->dispatch.decide(request_.dispatch_call, excluded_endpoints_, now);
    if (decision.confirm && status_requests_ < max_status_requests)
    {
        co_await request_status(decision.endpoint);
        co_return;
    }
    status_requests_ = 0;
    if (decision.load)
        context_->request_load(*decision.load);

    auto const* load = context_->dispatch.find(decision.endpoint);
    log_event(event::request_decided, "request", request_.caller_attempt_id, "route",
              request_.matched_route->name, "config", request_.routes->source().version,
              "act", static_cast<int>(decision.action), "endpoint",
              load ? load->announced.name : std::string("-"), "adapter",
              request_.dispatch_call.adapter, "expected_ms",
              decision.expected.count() / 1'000'000, "sends", sends_, "after_event",
              events_.last_id().value_or(0), "resumes", request_.resumed_attempt);
    switch (decision.action)
    {
    case dispatch_action::wait:
        co_await await_adapter(decision);
        break;
    case dispatch_action::refuse:
        if (auto const peer = has_lost_reach(decision) ? choose_peer() : std::nullopt)
            co_await forward(*peer);
        else
            co_await conclude_failed(decision.reason, decision.retry_after);
        break;
    case dispatch_action::send:
        co_await attempt_with_permit(load->announced);
        break;
    }
}

template <entry_dialect Dialect>
boost::asio::awaitable<void>
entry_exchange<Dialect>::await_adapter(dispatch_decision const& decision)
{
    if (++adapter_waits_ > max_adapter_waits)
    {
        co_await conclude_failed(error_kind::load_failed, context_->times.retry_pause);
        co_return;
    }
    auto const time =
        std::max<duration>(decision.recheck - boot_now(), std::chrono::milliseconds(1));
    co_await wait_until_notified(context_->adapter_waiters,
                                 request_.dispatch_call.adapter, time);
}

template <entry_dialect Dialect>
template <class Key>
boost::asio::awaitable<void>
entry_exchange<Dialect>::wait_until_notified(waiting_timers<Key>& timers, Key key,
                                             duration time)
{
    auto const waiter = timers.emplace(std::move(key), &timer_);
    timer_.expires_after(time);
    control_->set_cancel_wait([this] { timer_.cancel(); });
    error_code ignored;
    co_await timer_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    control_->set_cancel_wait(nullptr);
    timers.erase(waiter);
}

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::request_status(endpoint_id engine)
{
    ++status_requests_;
    if (!context_->report_usage(engine, true))
        co_return;
    co_await wait_until_notified(context_->status_waiters, engine,
                                 context_->times.status_timeout);
}

template <entry_dialect Dialect>
boost::asio::awaitable<void>
entry_exchange<Dialect>::attempt(endpoint_announcement endpoint)
{
    if (sends_ > 0 && (!take_retry() || sends_ >= max_sends))
    {
        co_await conclude_failed(error_kind::no_endpoint, context_->times.retry_pause);
        co_return;
    }
    if (sends_ == 0 && !request_.dispatch_call.adapter.empty())
        context_->metrics.shard.latency(stall_metric)
            .record(std::chrono::duration<double>(boot_now() - begin_).count());

    if (possible_runs_ > 0)
        context_->quotas.charge(quota_organisation(), quota_units_, boot_now());
    begin_attempt();
    current_endpoint_ = endpoint.id;
    current_software_version_ = endpoint.software_version;
    auto const limit = context_->rate_limits.limit_of(endpoint.id);
    if (limit)
        context_->metrics.shard.number(limited_sends_metric).add();
    auto const attempt_id = context_->callers.next_request_id();
    context_->dispatch.on_sent(request_.dispatch_call, endpoint.id, boot_now());
    report_current_usage();
    context_->suspects.on_grant(attempt_id, request_.dispatch_call.fingerprint,
                                endpoint.id);
    auto const end = co_await send_and_receive(endpoint);
    end_attempt();

    auto const now = boot_now();
    context_->dispatch.on_ended(request_.dispatch_call, endpoint.id, end, answer_started_,
                                now);
    report_current_usage();
    note_reach(end);
    note_parts(endpoint, end);
    if (end == attempt_end::lost)
        context_->lost.add(attempt_id, now);
    else
        context_->suspects.on_end(attempt_id, end == attempt_end::finished);
    context_->metrics.count(attempts_metric, "end", to_string(end));
    log_attempt(endpoint, end, limit);
    co_await on_end(endpoint, end);
}

template <entry_dialect Dialect>
bool entry_exchange<Dialect>::take_retry()
{
    auto const budget = context_->budgets.find(request_.dispatch_call.service);
    return budget == context_->budgets.end() ||
           budget->second.take(boot_now(), context_->host_count());
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::begin_attempt()
{
    answer_started_ = false;
    answer_framed_ = false;
    endpoint_answered_ = false;
    attempt_after_event_ = events_.last_id().value_or(0);
    longest_pause_ = {};
    longest_unread_ = {};
    timeout_ = nullptr;
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::end_attempt()
{
    cancel_attempt_timeout();
    control_->set_connection(nullptr);
    if (!connection_)
        return;
    error_code ignored;
    connection_->close(ignored);
    connection_ = nullptr;
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::log_attempt(endpoint_announcement const& endpoint,
                                          attempt_end end,
                                          std::optional<double> limit) const
{
    std::string parts;
    if (end == attempt_end::lost || end == attempt_end::invalid_answer)
        for (auto const& part : shared_parts(request_.dispatch_call))
            fmt::format_to(std::back_inserter(parts), "{}{:x}", parts.empty() ? "" : ",",
                           part.id);
    log_event(event::attempt_ended, "request", request_.caller_attempt_id, "endpoint",
              endpoint.name, "software", endpoint.software_version, "end", to_string(end),
              "begun", answer_started_, "events", events_.event_count(),
              "longest_pause_ms", longest_pause_.count() / 1'000'000, "after_ms",
              (boot_now() - begin_).count() / 1'000'000, "limit",
              limit.value_or(no_rate_limit), "content",
              request_.dispatch_call.fingerprint, "parts", parts);
}

template <entry_dialect Dialect>
boost::asio::awaitable<bool>
entry_exchange<Dialect>::connect(directory_entry const& endpoint, duration timeout)
{
    // An endpoint may close an idle connection at any time. It is then unknown whether it
    // ran what was written, so requests that must not run twice use a recent connection
    auto const max_idle = is_idempotent(request_.dispatch_call.kind)
                              ? duration::max()
                              : context_->times.max_idle_non_idempotent;
    connection_ = context_->connections.take_idle(endpoint, max_idle);
    connection_reused_ = connection_ != nullptr;
    if (connection_)
    {
        control_->set_connection(connection_);
        co_return true;
    }
    connection_ = context_->connections.make_socket();
    if (!connection_)
    {
        control_->abort(error_kind::host_full);
        co_return false;
    }
    control_->set_connection(connection_);
    start_attempt_timeout(timeout);
    auto const failed = co_await connection_pool::connect(connection_, endpoint.address);
    cancel_attempt_timeout();
    co_return !failed;
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::start_attempt_timeout(duration time)
{
    timeout_ = std::make_shared<attempt_timeout>();
    timer_.expires_after(time);
    timer_.async_wait(
        [timeout = timeout_, connection = connection_](error_code error)
        {
            if (error || !timeout->armed)
                return;
            timeout->expired = true;
            error_code ignored;
            connection->close(ignored);
        });
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::cancel_attempt_timeout()
{
    timer_.cancel();
    if (timeout_)
        timeout_->armed = false;
}

template <entry_dialect Dialect>
attempt_end entry_exchange<Dialect>::end_after_failure(attempt_end end) const
{
    if (aborted())
        return attempt_end::cancelled;
    if (timeout_ && timeout_->expired)
        return attempt_end::timed_out;
    return end == attempt_end::lost && longest_unread_ >= max_unread_time
               ? attempt_end::unread
               : end;
}

template <entry_dialect Dialect>
bool entry_exchange<Dialect>::has_other_endpoint() const
{
    auto const& dispatch_call = request_.dispatch_call;
    return dispatch_call.kind == call_kind::safe &&
           possible_runs_ + 1 < request_.matched_route->max_attempts &&
           context_->dispatch.usable_endpoints(dispatch_call.service, boot_now()) >
               excluded_endpoints_.size() + 1;
}

template <entry_dialect Dialect>
boost::asio::awaitable<attempt_end>
entry_exchange<Dialect>::send_and_receive(endpoint_announcement const& endpoint)
{
    auto const entry = make_directory_entry(endpoint);
    auto const connected = co_await connect(entry, context_->times.connect_timeout);
    if (aborted())
        co_return attempt_end::cancelled;
    if (!connected)
        co_return attempt_end::unreachable;

    // Time has passed since the decision. A stream that has begun goes on
    if (auto const refusal = check_access();
        refusal != error_kind::none && !head_sent_)
    {
        control_->abort(refusal);
        co_return attempt_end::cancelled;
    }
    auto const& dispatch_call = request_.dispatch_call;
    ++sends_;
    auto const sent = Dialect::endpoint_message(
        *message_, endpoint,
        {.time_left = dispatch_call.deadline - boot_now(),
         .version = context_->dispatch.required_version(dispatch_call.adapter),
         .last_event = events_.last_id().value_or(0),
         .priority = dispatch_call.priority,
         .organisation = request_.organisation});
    if (has_other_endpoint())
        start_attempt_timeout(std::max(
            context_->times.min_attempt_timeout,
            std::chrono::duration_cast<duration>(
                dispatch_call.objective * context_->times.attempt_timeout_fraction)));
    sent_at_ = boot_now();
    context_->reach.on_sent(dispatch_call.service, sent_at_);
    error_code error;
    co_await boost::beast::http::async_write(
        *connection_, sent,
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error)
        co_return end_after_failure(attempt_end::lost);
    co_return co_await read_answer(endpoint, entry);
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::keep_connection(directory_entry const& entry,
                                              attempt_end end)
{
    auto connection = std::exchange(connection_, nullptr);
    if (end == attempt_end::refused || end == attempt_end::adapter_missing)
        used_connections_.push_back({.endpoint = entry,
                                     .connection = std::move(connection),
                                     .idle_since = boot_now()});
    else
        context_->connections.put_back(entry, std::move(connection));
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::release_connections()
{
    for (auto& used : used_connections_)
        context_->connections.put_back(used.endpoint, std::move(used.connection),
                                       used.idle_since);
    used_connections_.clear();
}

template <entry_dialect Dialect>
bool entry_exchange<Dialect>::may_run_again() const
{
    return is_idempotent(request_.dispatch_call.kind) &&
           possible_runs_ < request_.matched_route->max_attempts;
}

template <entry_dialect Dialect>
boost::asio::awaitable<void>
entry_exchange<Dialect>::on_end(endpoint_announcement const& endpoint, attempt_end end)
{
    switch (end)
    {
    case attempt_end::finished:
        has_run_ = true;
        context_->measured_times.on_finished(request_.dispatch_call.service,
                                             request_.dispatch_call.kind,
                                             boot_now() - begin_);
        concluded_ = true;
        break;
    case attempt_end::cancelled:
        if (sends_ > 0 && !is_access_error(control_->reason()))
            ++possible_runs_;
        co_await conclude_aborted();
        break;
    case attempt_end::refused:
        // An engine that has just loaded the request's adapter may be tried again
        if (request_.dispatch_call.adapter.empty())
            excluded_endpoints_.push_back(endpoint.id);
        break;
    case attempt_end::adapter_missing:
        break;
    case attempt_end::another_instance:
    case attempt_end::unreachable:
        excluded_endpoints_.push_back(endpoint.id);
        break;
    case attempt_end::unread:
        ++possible_runs_;
        events_.restart();
        if (!may_run_again())
            co_await conclude_failed(error_kind::endpoint_lost, {});
        break;
    case attempt_end::failed:
    case attempt_end::lost:
    case attempt_end::invalid_answer:
    case attempt_end::oversized_answer:
    case attempt_end::timed_out:
        ++possible_runs_;
        excluded_endpoints_.push_back(endpoint.id);
        events_.restart();
        if (!may_run_again())
            co_await conclude_failed(end == attempt_end::invalid_answer ||
                                             end == attempt_end::oversized_answer
                                         ? error_kind::endpoint_protocol
                                         : error_kind::endpoint_lost,
                                     {});
        break;
    }
}

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::deliver(held_answer answer)
{
    concluded_ = true;
    log_event(event::request_answered, "request", request_.caller_attempt_id, "status",
              answer.head.result_int(), "after_ms",
              (boot_now() - begin_).count() / 1'000'000);
    context_->metrics.count(answers_metric, "kind", "endpoint");
    caller_answer reply(answer.head.result(), 11);
    static_cast<boost::beast::http::fields&>(reply) = answer.head;
    reply.result(answer.head.result_int());
    reply.body() = std::move(answer.body);
    co_await session_->send(std::move(reply));
}

template <entry_dialect Dialect>
boost::asio::awaitable<void>
entry_exchange<Dialect>::conclude_failed(error_kind kind, duration retry_after)
{
    concluded_ = true;
    if (head_sent_)
    {
        // The answer has begun, so it can only be cut
        log_event(event::request_failed, "request", request_.caller_attempt_id, "kind",
                  answer_of(kind).name, "outcome", "cut", "events",
                  events_.event_count());
        context_->metrics.count(answers_metric, "kind", "cut");
        session_->close_after_answer();
        co_return;
    }
    if (fallback_)
    {
        co_await deliver(std::move(*fallback_));
        co_return;
    }

    // A request that may have run is never reported as not run
    if (possible_runs_ > 0 && answer_of(kind).result == outcome::not_run)
        kind = error_kind::endpoint_lost;
    co_await reject(kind, retry_after);
}

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::conclude_aborted()
{
    concluded_ = true;
    auto const reason = control_->reason();
    if (reason == error_kind::caller_gone)
    {
        log_event(event::request_failed, "request", request_.caller_attempt_id, "kind",
                  answer_of(reason).name, "sends", sends_);
        context_->metrics.count(answers_metric, "kind", answer_of(reason).name);
        session_->close_after_answer();
        co_return;
    }

    // From here on nothing aborts the exchange, so that the answer can be sent
    control_->finish();
    if (reason == error_kind::shutting_down)
        co_await conclude_failed(reason, context_->times.shutdown_retry_pause);
    else if (is_access_error(reason) || reason == error_kind::host_full)
        co_await conclude_failed(reason, context_->times.retry_pause);
    else
        co_await conclude_failed(
            possible_runs_ > 0 ? reason : error_kind::deadline_unreachable, {});
}

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::reject(error_kind kind,
                                                             duration retry_after)
{
    log_event(event::request_rejected, "request", request_.caller_attempt_id, "kind",
              answer_of(kind).name, "outcome", to_string(answer_of(kind).result),
              "retry_after_ms", retry_after.count() / 1'000'000, "sends", sends_,
              "config", context_->routes ? context_->routes->source().version : 0,
              "after_ms", (boot_now() - begin_).count() / 1'000'000);
    context_->metrics.count(answers_metric, "kind", answer_of(kind).name);
    auto answer =
        Dialect::error_answer({.kind = kind, .message = {}, .retry_after = retry_after},
                              request_.caller_attempt_id);
    co_await session_->send(std::move(answer));
}

} // namespace marjorampath::serving
