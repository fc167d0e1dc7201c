namespace marjorampath::serving
{

template <entry_platform Platform>
void entry_node<Platform>::probe_service(service_id service)
{
    std::vector<endpoint_announcement> candidates;
    for (auto const& [id, endpoint] : catalog_.endpoints())
        if (endpoint.service == service && !endpoint.draining)
            candidates.push_back(endpoint);
    std::vector<endpoint_announcement> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen),
                probed_endpoints, probe_random_);

    // A service without endpoints is no matter of this host's links
    if (chosen.empty())
    {
        context_.reach.on_probed(service, true, boot_now());
        return;
    }
    auto const round = std::make_shared<service_probe>(
        service_probe{.service = service, .pending = chosen.size()});
    for (auto& endpoint : chosen)
        boost::asio::co_spawn(loop_, probe_for_service(std::move(endpoint), round),
                              boost::asio::detached);
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::probe_for_service(endpoint_announcement endpoint,
                                        std::shared_ptr<service_probe> round)
{
    auto const reached = co_await engines_.reaches(endpoint, times_.reach_timeout);
    --round->pending;
    if (round->decided || (!reached && round->pending > 0))
        co_return;
    round->decided = true;
    if (context_.reach.on_probed(round->service, reached, boot_now()))
        log_reachability(round->service, reached);
}

template <entry_platform Platform>
void entry_node<Platform>::log_reachability(service_id service, bool reached)
{
    auto const* known =
        context_.routes ? context_.routes->source().find_service(service) : nullptr;
    log_event(reached ? event::service_reachable : event::service_unreachable, "service",
              known ? known->name : std::string("-"));
}

} // namespace marjorampath::serving
