namespace marjorampath::serving
{

template <entry_platform Platform>
void entry_node<Platform>::check_endpoint(endpoint_announcement const& endpoint)
{
    if (probed_endpoints_.insert(endpoint.id).second)
        boost::asio::co_spawn(loop_, probe_endpoint(endpoint), boost::asio::detached);
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::probe_endpoint(endpoint_announcement endpoint)
{
    // The first read may use an idle connection that broke with the answer
    auto report = co_await engines_.read_report(endpoint);
    if (!report)
        report = co_await engines_.read_report(endpoint);
    probed_endpoints_.erase(endpoint.id);
    auto const alive = report && report->started_at_ms == endpoint.started_at_ms;
    log_event(event::endpoint_probed, "endpoint", endpoint.name, "alive", alive);
    auto const crash = crash_id(endpoint.id, endpoint.started_at_ms);
    if (alive)
        context_.parts.on_alive(crash);
    else
        suspect_parts(endpoint.name, crash);
}

template <entry_platform Platform>
void entry_node<Platform>::on_endpoint_crash(endpoint_event const& change)
{
    auto const& endpoint = change.endpoint;
    auto const started_at_ms = change.ended_process_started_at_ms;
    for (auto const content :
         context_.suspects.on_crash(boot_now(), wall_now(), endpoint.id, started_at_ms))
        log_event(event::request_suspected, "content", content, "endpoint",
                  endpoint.name);
    suspect_parts(endpoint.name, crash_id(endpoint.id, started_at_ms));
}

template <entry_platform Platform>
void entry_node<Platform>::suspect_parts(std::string const& endpoint, std::uint64_t crash)
{
    for (auto const part : context_.parts.on_crash(crash, boot_now()))
        log_event(event::part_suspected, "part", fmt::format("{:x}", part), "endpoint",
                  endpoint);
    log_part_convictions();
}

template <entry_platform Platform>
void entry_node<Platform>::log_part_convictions()
{
    for (auto const part : context_.parts.take_new_convictions())
        log_event(event::part_convicted, "part", fmt::format("{:x}", part));
}

} // namespace marjorampath::serving
