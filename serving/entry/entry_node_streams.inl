namespace marjorampath::serving
{

template <entry_platform Platform>
void entry_node<Platform>::remember_stream(stream_origin const& origin)
{
    auto const now = boot_now();
    stream_origins_.remember(origin, now);
    open_streams_.add(origin);
    for (auto const host :
         choose_stream_replicas(fleet_.peers(), origin.stream, origin_replicas, now))
        fleet_.report_stream_origin(origin, host);
}

template <entry_platform Platform>
void entry_node<Platform>::report_open_streams(host_id host)
{
    for (auto const& origin :
         open_streams_.origins_for(host, fleet_.peers(), origin_replicas, boot_now()))
        fleet_.report_stream_origin(origin, host);
}

template <entry_platform Platform>
std::optional<std::string> entry_node<Platform>::find_stream(stream_id stream,
                                                             std::uint64_t number)
{
    auto const now = boot_now();
    auto known = stream_origins_.find(stream, now);
    if (known)
        return known;
    for (auto const host :
         choose_stream_replicas(fleet_.peers(), stream, origin_queries, now))
        fleet_.query_stream_origin({.number = number, .stream = stream}, host);
    return std::nullopt;
}

template <entry_platform Platform>
bool entry_node<Platform>::request_listing(time_point since)
{
    if (catalog_.listed_at() && *catalog_.listed_at() > since)
        return true;
    listing_wanted_since_ = std::max(listing_wanted_since_, since);
    listing_timer_.cancel();
    return false;
}

template <entry_platform Platform>
origin_finding entry_node<Platform>::judge_versions(stream_question const& question)
{
    auto const possible = software_.find_versions(question.service, question.begin);
    if (auto const only = possible.only())
        return {.result = origin_result::proved, .software_version = *only};
    if (!software_.is_known(question.begin))
    {
        if (!reading_software_history_ && boot_now() >= next_history_read_at_)
            boost::asio::co_spawn(loop_, read_software_history(question.begin),
                                  boost::asio::detached);
        if (reading_software_history_)
            return {.result = origin_result::pending};

        // The last read was for younger streams
        if (!history_exhausted_ &&
            software_.needed_since(question.begin) < history_sought_since_)
            return {.result = origin_result::pending, .recheck = next_history_read_at_};
    }
    return {.result = possible.complete ? origin_result::several_versions
                                        : origin_result::past_unknown};
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::read_software_history(stream_begin begin)
{
    reading_software_history_ = true;
    auto const listed = catalog_.position();
    history_sought_since_ = software_.needed_since(begin);
    auto back = estimate_revisions(history_sought_since_);
    auto is_limited = false;
    endpoint_history_read read;
    for (unsigned reads = 0; reads < max_history_reads; ++reads)
    {
        auto const after = listed.revision > back ? listed.revision - back : 0;
        auto const wall_asked_at = wall_now();
        read = co_await source_.read_endpoint_history(after, listed);
        log_event(event::endpoint_history_read, "after", after, "revision",
                  read.history.until.revision, "changes", read.history.changes.size(),
                  "error", read.error.message());
        if (finished_)
            co_return;
        is_limited = is_limited || read.error == remote_error::history_lost;
        if (read.error == remote_error::history_lost)
        {
            back -= back / 4 + 1;
            continue;
        }
        if (read.error)
            break;
        software_.on_history(read.history, boot_now(), wall_asked_at);
        is_limited = is_limited || after == 0;
        if (software_.is_known(begin) || is_limited)
            break;
        back *= 2;
    }
    history_exhausted_ = is_limited || read.error;
    reading_software_history_ = false;
    next_history_read_at_ = boot_now() + times_.history_interval;
    context_.wake_evidence_waiters();
}

template <entry_platform Platform>
std::uint64_t entry_node<Platform>::estimate_revisions(time_point since) const
{
    auto const announcements =
        (boot_now() - since) / times_.announcement_interval + spare_announcements;
    return static_cast<std::uint64_t>(announcements) * (catalog_.endpoints().size() + 1);
}

template <entry_platform Platform>
origin_finding entry_node<Platform>::judge_kept_parts(stream_question const& question)
{
    // Without that, an engine of another version may have begun it unseen
    auto const possible = software_.find_versions(question.service, question.begin);
    if (!possible.complete_as_told)
        return {.result = origin_result::past_unknown};
    auto const now = boot_now();
    auto const& endpoints = catalog_.endpoints();
    for (auto const engine : origin_evidence_.begin_round(
             question.service, question.begin.latest, endpoints, now))
        boost::asio::co_spawn(loop_, read_kept_parts(endpoints.at(engine)),
                              boost::asio::detached);
    return origin_evidence_.find_version(question, endpoints, possible, now);
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::read_kept_parts(endpoint_announcement engine)
{
    auto const asked_at = boot_now();
    auto parts = co_await engines_.read_kept_parts(engine);
    log_event(event::kept_parts_read, "endpoint", engine.name, "parts",
              parts ? static_cast<std::int64_t>(parts->size()) : -1, "took_ms",
              (boot_now() - asked_at).count() / 1'000'000);
    origin_evidence_.on_answer(engine.service, engine.id, engine.started_at_ms,
                               std::move(parts), asked_at);
    if (!origin_evidence_.is_pending(engine.service, boot_now()))
        context_.wake(engine.service);
}

template <entry_platform Platform>
stream_origin_reply
entry_node<Platform>::on_stream_origin_query(stream_origin_query const& query)
{
    return {.number = query.number,
            .software_version = stream_origins_.find(query.stream, boot_now())};
}

template <entry_platform Platform>
void entry_node<Platform>::on_stream_origin_reply(stream_origin_reply const& reply)
{
    // Another host may still know the stream
    if (reply.software_version)
        context_.origin_replies.deliver(reply);
}

} // namespace marjorampath::serving
