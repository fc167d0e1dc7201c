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
std::optional<std::string>
entry_node<Platform>::only_software_version(service_id service) const
{
    auto const now = boot_now();
    if (!catalog_.listed_at() || now - *catalog_.listed_at() > times_.max_software_age)
        return std::nullopt;
    return software_.only_version(service, now, wall_now());
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
