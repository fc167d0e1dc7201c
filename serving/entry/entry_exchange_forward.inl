namespace marjorampath::serving
{

template <entry_dialect Dialect>
std::optional<peer_address> entry_exchange<Dialect>::choose_peer() const
{
    if (forwarded_here_ || tried_peers_.size() >= max_peers)
        return std::nullopt;
    auto const& dispatch_call = request_.dispatch_call;
    return context_->choose_peer(dispatch_call.service, dispatch_call.id, tried_peers_);
}

template <entry_dialect Dialect>
bool entry_exchange<Dialect>::has_lost_reach(dispatch_decision const& decision) const
{
    auto const now = boot_now();
    auto const service = request_.dispatch_call.service;
    return decision.reason == error_kind::no_endpoint &&
           context_->reach.is_doubtful(service, now) &&
           context_->dispatch.usable_endpoints(service, now) <=
               excluded_endpoints_.size();
}

template <entry_dialect Dialect>
boost::asio::awaitable<void> entry_exchange<Dialect>::forward(peer_address peer)
{
    tried_peers_.push_back(peer);
    if (possible_runs_ > 0 && !take_retry())
    {
        co_await conclude_failed(error_kind::no_endpoint, context_->times.retry_pause);
        co_return;
    }
    begin_attempt();
    current_endpoint_ = endpoint_id();
    at_peer_ = true;
    auto const end = co_await send_to_peer(peer);
    at_peer_ = false;
    end_attempt();
    context_->metrics.count(forwards_metric, "end", to_string(end));
    log_event(event::request_forwarded, "request", request_.caller_attempt_id, "peer",
              boost::asio::ip::address_v4(peer.address).to_string(), "end",
              to_string(end), "events", events_.event_count(), "after_ms",
              (boot_now() - begin_).count() / 1'000'000);
    switch (end)
    {
    case attempt_end::finished:
        has_run_ = true;
        concluded_ = true;
        break;
    case attempt_end::unreachable:
        break;
    case attempt_end::cancelled:
        ++possible_runs_;
        co_await conclude_aborted();
        break;
    default:
        ++possible_runs_;
        events_.restart();
        if (!may_run_again())
            co_await conclude_failed(error_kind::endpoint_lost, {});
        break;
    }
}

template <entry_dialect Dialect>
boost::asio::awaitable<attempt_end>
entry_exchange<Dialect>::send_to_peer(peer_address peer)
{
    directory_entry const entry{
        .id = endpoint_id(hash_combine(peer.address, peer.port)),
        .name = {},
        .address = {boost::asio::ip::address_v4(peer.address), peer.port}};
    auto const connected = co_await connect(entry, context_->times.peer_connect_timeout);
    if (aborted())
        co_return attempt_end::cancelled;
    if (!connected)
        co_return attempt_end::unreachable;

    ++sends_;
    auto const sent = Dialect::forwarded_message(
        *message_, {.time_left = request_.dispatch_call.deadline - boot_now(),
                    .last_event = events_.last_id().value_or(0)});
    error_code error;
    co_await boost::beast::http::async_write(
        *connection_, sent,
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error)
        co_return end_after_failure(attempt_end::lost);
    answer_reader reader(connection_);
    if (message_->method() == boost::beast::http::verb::head)
        reader.expect_no_body();
    if (co_await reader.read_head())
        co_return end_after_failure(attempt_end::lost);
    auto const end = co_await process_peer_answer(reader);
    if (reader.keep_alive() && connection_->is_open() && !aborted())
        context_->connections.put_back(entry, std::exchange(connection_, nullptr));
    co_return end;
}

template <entry_dialect Dialect>
boost::asio::awaitable<attempt_end>
entry_exchange<Dialect>::process_peer_answer(answer_reader& reader)
{
    // What is neither an endpoint's answer nor a success is an error answer of the host
    auto const& head = reader.get_head();
    auto const verdict =
        Dialect::classify_answer(head, request_.caller_attempt_id, {}, false);
    auto const succeeded = boost::beast::http::to_status_class(head.result()) ==
                           boost::beast::http::status_class::successful;
    if (verdict == endpoint_verdict::other_request ||
        (succeeded && verdict != endpoint_verdict::success))
        co_return attempt_end::invalid_answer;
    if (succeeded && is_stream(request_.dispatch_call.kind))
        co_return co_await forward_stream(reader);

    held_answer answer{.head = Dialect::caller_head(head), .body = {}};
    if (co_await read_whole(reader, answer.body))
        co_return end_after_failure(attempt_end::lost);
    if (aborted())
        co_return attempt_end::cancelled;

    // A request that may have run here is never reported as not run
    if (!succeeded && (possible_runs_ > 0 || head_sent_))
        co_await conclude_failed(error_kind::endpoint_lost, {});
    else
        co_await deliver(std::move(answer));
    co_return attempt_end::finished;
}

} // namespace marjorampath::serving
