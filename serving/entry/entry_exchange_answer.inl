namespace marjorampath::serving
{

template <entry_dialect Dialect>
boost::asio::awaitable<attempt_end>
entry_exchange<Dialect>::read_answer(endpoint_announcement const& endpoint,
                                     directory_entry const& entry)
{
    std::string early;
    for (unsigned skipped = 0; skipped <= max_skipped_answers; ++skipped)
    {
        answer_reader reader(connection_, std::move(early));
        if (message_->method() == boost::beast::http::verb::head)
            reader.expect_no_body();
        auto const broken = co_await reader.read_head();
        endpoint_answered_ = endpoint_answered_ || reader.got_some();
        if (endpoint_answered_)
            context_->reach.on_answer(request_.dispatch_call.service);
        if (broken)
            co_return end_of_broken(broken, reader.got_some()
                                                ? attempt_end::invalid_answer
                                                : attempt_end::lost);

        auto const verdict = Dialect::classify_answer(
            reader.get_head(), request_.caller_attempt_id, endpoint.name,
            connection_reused_ || skipped > 0);
        if (verdict == endpoint_verdict::other_request)
        {
            if (!reader.is_framed() || !co_await skip_body(reader))
                co_return end_after_failure(attempt_end::invalid_answer);
            early = reader.take_unparsed();
            continue;
        }
        if (verdict == endpoint_verdict::garbled)
            co_return attempt_end::invalid_answer;
        if (verdict != endpoint_verdict::another_instance)
        {
            note_rate_limit(endpoint, reader.get_head());
            if (Dialect::is_leaving(reader.get_head()))
                context_->note_leaving(endpoint);
        }
        if (verdict == endpoint_verdict::refused)
            note_requested_pause(endpoint, reader.get_head());

        auto end = attempt_end::finished;
        if (verdict == endpoint_verdict::success || verdict == endpoint_verdict::failure)
        {
            end = co_await process_answer(reader, verdict == endpoint_verdict::success);
        }
        else
        {
            // The head says all; the body is read only to use the connection again
            cancel_attempt_timeout();
            co_await skip_body(reader);
            end = Dialect::to_attempt_end(verdict);
        }
        if (reader.keep_alive() && connection_->is_open() && !aborted())
            keep_connection(entry, end);
        co_return end;
    }
    co_return attempt_end::invalid_answer;
}

template <entry_dialect Dialect>
attempt_end entry_exchange<Dialect>::end_of_broken(error_code error,
                                                   attempt_end otherwise) const
{
    if (!is_limit_error(error))
        return end_after_failure(otherwise);
    log_event(event::answer_limit_exceeded, "request", request_.caller_attempt_id,
              "limit", error.message());

    // Only the size of a body is up to the request
    return end_after_failure(error == boost::beast::http::error::body_limit
                                 ? otherwise
                                 : attempt_end::oversized_answer);
}

template <entry_dialect Dialect>
boost::asio::awaitable<bool> entry_exchange<Dialect>::skip_body(answer_reader& reader)
{
    // The time limit of the attempt, if there is one, ends this step too
    auto const limited = timeout_ && timeout_->armed;
    if (!limited)
        start_attempt_timeout(context_->times.skip_timeout);
    std::string ignored;
    auto const failed = co_await reader.read_rest(ignored, max_skipped_bytes);
    if (!limited)
        cancel_attempt_timeout();
    co_return !failed;
}

template <entry_dialect Dialect>
boost::asio::awaitable<attempt_end>
entry_exchange<Dialect>::process_answer(answer_reader& reader, bool success)
{
    if (success && is_stream(request_.dispatch_call.kind))
        co_return co_await forward_stream(reader);

    cancel_attempt_timeout();
    held_answer answer{.head = Dialect::caller_head(reader.get_head()), .body = {}};
    answer_started_ = true;
    answer_framed_ = reader.is_framed();
    first_events_at_ = boot_now();
    context_->dispatch.on_first_event(request_.dispatch_call, current_endpoint_);
    context_->metrics.shard.latency(first_byte_metric)
        .record(std::chrono::duration<double>(boot_now() - begin_).count());
    if (auto const broken = co_await read_whole(reader, answer.body))
        co_return end_of_broken(broken, attempt_end::lost);
    if (aborted())
        co_return attempt_end::cancelled;
    if (!success)
    {
        fallback_ = std::move(answer);
        co_return attempt_end::failed;
    }
    co_await deliver(std::move(answer));
    co_return attempt_end::finished;
}

template <entry_dialect Dialect>
boost::asio::awaitable<typename entry_exchange<Dialect>::error_code>
entry_exchange<Dialect>::read_whole(answer_reader& reader, std::string& body)
{
    auto const kept = fallback_ ? fallback_->body.size() : 0;

    // An announced length is reserved at once: of many answers that each hold a part of
    // the memory, none could be completed
    if (auto const length = reader.length(); length && *length <= max_held_bytes)
    {
        auto const bytes = kept + *length + answer_read_bytes;
        if (!session_->holds_answer(bytes) && !co_await hold_answer(bytes))
            co_return boost::asio::error::operation_aborted;
        body.reserve(*length);
    }
    error_code error;
    while (!error && (reader.has_buffered_body() || !reader.is_done()))
    {
        auto const bytes = kept + body.size() + answer_read_bytes;
        if (!session_->holds_answer(bytes) && !co_await hold_answer(bytes))
            co_return boost::asio::error::operation_aborted;
        error = co_await reader.read_some(body);
        if (body.size() > max_held_bytes)
            error = boost::beast::http::error::body_limit;
    }
    co_return error;
}

template <entry_dialect Dialect>
boost::asio::awaitable<bool> entry_exchange<Dialect>::hold_answer(std::size_t bytes)
{
    auto const begin = boot_now();
    control_->set_cancel_wait([this] { session_->cancel_hold(); });
    auto const refusal = co_await session_->hold_answer(bytes);
    control_->set_cancel_wait(nullptr);
    longest_unread_ = std::max(longest_unread_, boot_now() - begin);
    if (refusal != error_kind::none)
    {
        // Requests that follow on this connection would need as much
        session_->close_after_answer();
        control_->abort(error_kind::host_full);
    }
    co_return !aborted();
}

template <entry_dialect Dialect>
boost::asio::awaitable<attempt_end>
entry_exchange<Dialect>::forward_stream(answer_reader& reader)
{
    std::string bytes;
    std::string events;
    error_code error;
    answer_framed_ = reader.is_framed();
    if (head_sent_ && media_type(reader.get_head()) != stream_type_)
        co_return attempt_end::invalid_answer;
    while (!error && (!reader.is_done() || reader.has_buffered_body()))
    {
        // An event is kept until it is complete
        auto const held = events_.buffered_bytes() + answer_read_bytes;
        if (session_->holds_answer(held) || co_await hold_answer(held))
            error = co_await reader.read_some(bytes);
        if (aborted())
            co_return attempt_end::cancelled;
        auto const valid = events_.push(bytes, events);
        bytes.clear();
        if (!events.empty() && !co_await forward_events(reader, events))
            co_return attempt_end::cancelled;
        if (!valid)
            co_return attempt_end::invalid_answer;
        events.clear();
    }
    if (error)
        co_return end_of_broken(error, attempt_end::lost);
    if (events_.in_event() || !head_sent_)
        co_return attempt_end::invalid_answer;
    if (co_await session_->finish_body())
        control_->abort(error_kind::caller_gone);
    concluded_ = true;
    context_->metrics.count(answers_metric, "kind", "endpoint");
    co_return attempt_end::finished;
}

template <entry_dialect Dialect>
boost::asio::awaitable<bool>
entry_exchange<Dialect>::forward_events(answer_reader const& reader,
                                        std::string const& events)
{
    auto const now = boot_now();
    if (!at_peer_)
        context_->reach.on_answer(request_.dispatch_call.service);
    if (answer_started_)
        longest_pause_ = std::max(longest_pause_, now - last_events_at_);
    last_events_at_ = now;
    if (!answer_started_)
    {
        answer_started_ = true;
        first_events_at_ = now;
        context_->dispatch.on_first_event(request_.dispatch_call, current_endpoint_);
        report_current_usage();
    }
    if (!head_sent_)
    {
        context_->metrics.shard.latency(first_byte_metric)
            .record(std::chrono::duration<double>(boot_now() - begin_).count());
        log_event(event::request_answered, "request", request_.caller_attempt_id,
                  "first_event_ms", (boot_now() - begin_).count() / 1'000'000);
        head_sent_ = true;
        begun_by_peer_ = at_peer_;
        stream_type_ = media_type(reader.get_head());
        if (!at_peer_)
            pin_software_version();
        auto head = Dialect::caller_head(reader.get_head());
        head.erase(boost::beast::http::field::content_length);
        if (session_->accepts_chunks())
            head.chunked(true);
        else
            session_->close_after_answer();
        if (co_await session_->send_head(std::move(head)))
            control_->abort(error_kind::caller_gone);
    }
    if (!aborted() && co_await session_->write_body(events))
        control_->abort(error_kind::caller_gone);
    longest_unread_ = std::max(longest_unread_, session_->last_write_wait());
    co_return !aborted();
}

} // namespace marjorampath::serving
