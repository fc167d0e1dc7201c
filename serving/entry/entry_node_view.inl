namespace marjorampath::serving
{

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::wait_for(boost::asio::steady_timer& timer, duration time)
{
    boost::system::error_code ignored;
    timer.expires_after(time);
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

template <entry_platform Platform>
boost::asio::awaitable<void> entry_node<Platform>::poll_endpoints()
{
    while (!finished_)
    {
        // Where other hosts of the zone read for all, this one reads from them
        if (!fleet_.peers().is_reader(boot_now()) && context_.routes)
        {
            co_await wait_for(listing_timer_, times_.listing_interval);
            continue;
        }
        auto listing = co_await source_.read_endpoints();
        if (finished_)
            break;
        update_store_state(listing.error);
        auto const failed = static_cast<bool>(listing.error);
        if (!failed)
            apply_listing(std::move(listing), "store");
        co_await wait_for(listing_timer_,
                          failed ? times_.read_pause : times_.listing_interval);
    }
}

template <entry_platform Platform>
void entry_node<Platform>::update_store_state(std::error_code error)
{
    if (error && store_reachable_)
        log_event(event::store_unreachable, "error", error.message(), "revision",
                  catalog_.revision());
    if (!error && !store_reachable_)
        log_event(event::store_reachable, "revision", catalog_.revision());
    store_reachable_ = !error;
}

template <entry_platform Platform>
boost::asio::awaitable<void> entry_node<Platform>::watch_operator()
{
    while (!finished_)
    {
        if (!fleet_.peers().is_reader(boot_now()) && context_.routes)
        {
            watched_revision_ = 0;
            co_await wait_for(watch_timer_, times_.read_pause);
            continue;
        }
        operator_update news;
        if (watched_revision_ == 0)
            news = co_await source_.read_operator();
        else
            news = co_await source_.watch_operator(watched_revision_, times_.watch_wait);
        if (finished_)
            break;
        if (!news.error)
        {
            watched_revision_ = news.revision;
            take_news(news, "store");
            continue;
        }

        // Whatever failed, the history may be gone: read all of it again
        watched_revision_ = 0;
        co_await wait_for(watch_timer_, times_.read_pause);
    }
}

template <entry_platform Platform>
void entry_node<Platform>::take_news(operator_update const& news, std::string_view source)
{
    for (auto const& key : news.ignored)
        log_event(event::deployment_ignored, "key", key, "source", source);
    if (news.configuration)
        take_configuration(news.configuration, source);
    for (auto const& version : news.versions)
    {
        if (context_.dispatch.required_version(version.adapter) >= version.version)
            continue;
        log_event(event::version_announced, "adapter", version.adapter, "version",
                  version.version, "source", source);
        context_.dispatch.on_version(version.adapter, version.version);
        planner_.on_version(version.adapter, version.version);
    }
}

template <entry_platform Platform>
void entry_node<Platform>::take_configuration(
    std::shared_ptr<deployment const> const& configuration, std::string_view source)
{
    // An older one never comes back into force
    if (context_.routes && context_.routes->source().version >= configuration->version)
        return;
    log_event(event::deployment_accepted, "version", configuration->version, "routes",
              configuration->routes.size(), "source", source);
    context_.routes = std::make_shared<route_table const>(configuration);
    context_.dispatch.set_services(configuration->services);
    planner_.set_services(configuration->services);
    auto& limits = context_.callers.limits;
    limits.max_head_bytes = configuration->bounds.max_head_bytes;
    limits.max_body_bytes = configuration->bounds.max_body_bytes;
    limits.idle_timeout = configuration->bounds.idle_timeout;
    for (auto const& service : configuration->services)
        context_.budgets.try_emplace(service.id, budget_options());
    update_engines();

    // Hosts that do not read the store hear of it at once
    if (source == "store")
        fleet_.last_heartbeat();
}

template <entry_platform Platform>
void entry_node<Platform>::apply_listing(endpoint_listing listing, std::string_view source)
{
    auto const now = boot_now();
    for (auto const& key : listing.ignored)
        log_event(event::store_entry_ignored, "key", key, "revision", listing.revision);
    if (listing.revision >= catalog_.revision())
        relayed_listing_ = std::move(listing.relayed);
    auto const changes =
        catalog_.apply_listing(now, listing.revision, std::move(listing.endpoints));
    for (auto const& change : changes)
    {
        auto const& endpoint = change.endpoint;
        if (change.change != endpoint_change::updated)
            log_event(change.change == endpoint_change::appeared
                          ? event::endpoint_appeared
                          : (change.change == endpoint_change::restarted
                                 ? event::endpoint_restarted
                                 : (change.change == endpoint_change::draining
                                        ? event::endpoint_leaving
                                        : event::endpoint_lost)),
                      "endpoint", endpoint.name, "address", endpoint.address, "port",
                      endpoint.port, "revision", listing.revision, "source", source);
        if (change.change == endpoint_change::restarted ||
            (change.change == endpoint_change::gone && !endpoint.draining))
            for (auto const content :
                 context_.suspects.on_crash(now, wall_now(), endpoint.id, endpoint.started_at_ms))
                log_event(event::request_suspected, "content", content, "endpoint",
                          endpoint.name);
        context_.dispatch.on_endpoint(change, now);
        planner_.on_endpoint(change, now);
    }
    update_engines();
}

template <entry_platform Platform>
void entry_node<Platform>::update_engines()
{
    if (!context_.routes)
        return;
    std::set<endpoint_id> engines;
    for (auto const& [id, endpoint] : catalog_.endpoints())
    {
        auto const* service = context_.routes->source().find_service(endpoint.service);
        if (service && service->engine && !endpoint.draining)
            engines.insert(id);
    }
    if (engines == known_engines_)
        return;
    known_engines_ = std::move(engines);
    fleet_.set_engines({known_engines_.begin(), known_engines_.end()});
}

template <entry_platform Platform>
boost::asio::awaitable<std::string> entry_node<Platform>::fetch_from_peer(peer_address peer,
                                                                     std::string path)
{
    namespace http = boost::beast::http;
    http::request<http::string_body> request(http::verb::get, path, 11);
    boost::asio::ip::tcp::endpoint const address{
        boost::asio::ip::address_v4(peer.address), settings_.relay.port()};
    http_fetch_options const options{.timeout = times_.read_pause,
                                     .max_body_bytes = max_relay_answer_bytes};
    auto const fetched = co_await http_fetch(address, std::move(request), options);
    if (fetched.error || fetched.answer.result() != http::status::ok)
    {
        log_event(event::relay_failed, "peer", address.address().to_string(), "path",
                  path, "error", fetched.error.message());
        co_return std::string();
    }
    co_return fetched.answer.body();
}

template <entry_platform Platform>
boost::asio::awaitable<void> entry_node<Platform>::read_peer_view()
{
    // The host whose listing is newest, and any that has a newer configuration
    auto const now = boot_now();

    auto const own_age =
        catalog_.listed_at() ? now - *catalog_.listed_at() : duration::max();
    auto const choice = choose_relays(fleet_.peers(),
                                      {.host = host_id::of(settings_.host),
                                       .zone = zone_id::of(settings_.zone),
                                       .operator_revision = source_.operator_revision(),
                                       .listing_revision = catalog_.revision(),
                                       .other_zone_penalty = times_.other_zone_penalty},
                                      now);
    reading_peer_view_ = true;
    if (choice.operator_update)
    {
        auto const path =
            fmt::format("{}{}", operator_relay_path, source_.operator_revision());
        auto const relayed = co_await fetch_from_peer(*choice.operator_update, path);
        auto const news = source_.read_relayed_operator(relayed);
        if (!news.error)
            take_news(news, "peer");
    }
    if (choice.listing && own_age > times_.max_listing_age)
    {
        std::string const path = "/relay/endpoints";
        auto const relayed = co_await fetch_from_peer(*choice.listing, path);
        auto listing = source_.read_relayed_endpoints(relayed);
        if (!listing.error)
        {
            log_event(event::view_relayed, "revision", listing.revision, "own_age_ms",
                      own_age.count() / 1'000'000);
            listing.relayed = relayed;
            apply_listing(std::move(listing), "peer");
        }
    }
    reading_peer_view_ = false;
}

} // namespace marjorampath::serving
