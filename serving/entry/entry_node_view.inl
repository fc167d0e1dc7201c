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
        // Only some hosts of a zone read the store; the others read from those hosts
        auto const requested_at = boot_now();
        auto const time_to_listing = time_to_store_listing(requested_at);
        if (time_to_listing > duration{0})
        {
            co_await wait_for(listing_timer_,
                              std::min(time_to_listing, times_.listing_interval));
            continue;
        }
        auto listing = co_await source_.read_endpoints();
        listing.listed_at = requested_at;
        if (!listing.error && listing.position.era < catalog_.position().era)
            listing.error = remote_error::history_lost;
        if (finished_)
            break;
        update_store_state(listing);
        auto const failed = static_cast<bool>(listing.error);
        last_listing_read_at_ = boot_now();
        next_listing_read_at_ = last_listing_read_at_ +
                                (failed ? times_.read_pause : times_.listing_interval);
        fallback_.on_listing_read(!failed, listing_age(requested_at), boot_now());
        if (fallback_.wants_operator(boot_now()))
            watch_timer_.cancel();
        if (failed)
        {
            apply_listing_part(std::move(listing));
            continue;
        }
        context_.freshness.on_store_position(listing.position, requested_at);
        apply_listing(std::move(listing), "store");
    }
}

template <entry_platform Platform>
duration entry_node<Platform>::time_to_store_listing(time_point now) const
{
    auto const regularly = !context_.routes || fleet_.peers().is_reader(now);
    auto wait = regularly ? next_listing_read_at_ - now
                          : fallback_.time_to_listing(listing_age(now), now);
    if (listing_wanted_since_ > catalog_.listed_at().value_or(time_point{}))
        wait =
            std::min(wait, last_listing_read_at_ + times_.wanted_listing_interval - now);
    return std::max(wait, duration{0});
}

template <entry_platform Platform>
bool entry_node<Platform>::reads_operator_from_store(time_point now) const
{
    return !context_.routes || fleet_.peers().is_reader(now) ||
           fallback_.wants_operator(now) ||
           (confirms_configuration() && context_.freshness.needs_store(now));
}

template <entry_platform Platform>
void entry_node<Platform>::update_store_state(endpoint_listing const& listing)
{
    auto const& error = listing.error;
    if (error && store_reachable_)
        log_event(event::store_unreachable, "error", error.message(), "read",
                  listing.endpoints.size(), "ignored", listing.ignored.size(), "revision",
                  catalog_.position().revision, "era", catalog_.position().era);
    if (!error && !store_reachable_)
        log_event(event::store_reachable, "revision", catalog_.position().revision, "era",
                  catalog_.position().era);
    store_reachable_ = !error;
}

template <entry_platform Platform>
boost::asio::awaitable<void> entry_node<Platform>::watch_operator()
{
    while (!finished_)
    {
        if (!reads_operator_from_store(boot_now()))
        {
            co_await wait_for(watch_timer_, times_.read_pause);
            continue;
        }
        auto const requested_at = boot_now();
        auto const before = source_.operator_complete();
        auto const after = lists_operator_ ? store_position{} : before;
        operator_update update;
        auto const only_confirms = context_.routes &&
                                   !fleet_.peers().is_reader(requested_at) &&
                                   !fallback_.wants_operator(requested_at);
        // A watch that is repeated answers at once, so that a silent connection is noticed
        auto const wait = only_confirms || failed_watches_ > 0
                              ? times_.confirming_watch_wait
                              : times_.watch_wait;
        context_.freshness.on_store_asked(requested_at);
        if (after == store_position{})
            update = co_await source_.read_operator();
        else
            update = co_await source_.watch_operator(after, wait);
        if (finished_)
            break;
        fallback_.on_operator_read(!update.error, boot_now());
        // What arrived before a failure counts as handed over
        apply_operator_update(update, before, "store");
        note_operator_read(update, requested_at);
        if (after == store_position{})
            note_operator_listing(update, requested_at);
        else
            note_operator_watch(update);
        if (!update.error)
            continue;

        log_event(event::operator_read_failed, "error", update.error.message(), "after",
                  after.revision, "bytes", update.received, "took_ms",
                  (boot_now() - requested_at).count() / 1'000'000, "revision",
                  source_.operator_data().change.revision, "era", before.era, "config",
                  context_.routes ? context_.routes->source().version : 0);
        co_await wait_for(watch_timer_, times_.read_pause);
    }
}

template <entry_platform Platform>
void entry_node<Platform>::note_operator_listing(operator_update const& update,
                                                 time_point requested_at)
{
    lists_operator_ = update.more || update.error;
    if (!operator_listing_)
        operator_listing_ = operator_listing_progress{.begun_at = requested_at};
    operator_listing_->bytes += update.received;
    operator_listing_->failures += update.error ? 1 : 0;
    if (lists_operator_)
        return;
    log_event(event::operator_listed, "bytes", operator_listing_->bytes, "took_ms",
              (boot_now() - operator_listing_->begun_at).count() / 1'000'000, "failures",
              operator_listing_->failures, "revision", update.position.revision, "era",
              update.position.era);
    operator_listing_.reset();
}

template <entry_platform Platform>
void entry_node<Platform>::note_operator_watch(operator_update const& update)
{
    failed_watches_ = update.error ? failed_watches_ + 1 : 0;
    if (!update.error)
        return;

    // Without the changes since this host's position everything is read again; any other
    // watch is repeated, as the changes that it missed may be the last of a long listing
    lists_operator_ = update.error == remote_error::history_lost ||
                      update.error == remote_error::history_changed ||
                      failed_watches_ >= max_failed_watches;
    if (lists_operator_)
        failed_watches_ = 0;
}

template <entry_platform Platform>
void entry_node<Platform>::note_operator_history(store_position before,
                                                 std::string_view source)
{
    auto const complete = source_.operator_complete();
    if (before == store_position{} || complete.era == before.era)
        return;
    log_event(event::operator_history_changed, "old_era", before.era, "old_revision",
              before.revision, "era", complete.era, "revision", complete.revision, "kept",
              source_.operator_kept(), "config",
              context_.routes ? context_.routes->source().version : 0, "source", source);
    context_.metrics.count(history_changes_metric, "view", "operator");
}

template <entry_platform Platform>
void entry_node<Platform>::apply_operator_update(operator_update const& update,
                                                 store_position before,
                                                 std::string_view source)
{
    // A value may have changed without its position
    if (update.configuration || !update.versions.empty())
        operator_relay_ = {};
    note_operator_history(before, source);
    for (auto const& key : update.ignored)
        log_event(event::deployment_ignored, "key", key, "source", source);
    if (update.configuration)
        apply_configuration(update.configuration, source);
    for (auto const& version : update.versions)
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
void entry_node<Platform>::apply_configuration(
    std::shared_ptr<deployment const> const& configuration, std::string_view source)
{
    // An older configuration never replaces a newer one
    if (context_.routes && context_.routes->source().version >= configuration->version)
        return;
    log_event(event::deployment_accepted, "version", configuration->version, "routes",
              configuration->routes.size(), "source", source);
    context_.routes = std::make_shared<route_table const>(configuration, key_seed_);
    context_.freshness.on_configuration(configuration->version);
    log_organisation_problems(*configuration);
    context_.quotas.set_organisations(configuration->organisations
                                          ? configuration->organisations->organisations
                                          : std::vector<organisation>(),
                                      boot_now());
    context_.dispatch.set_services(configuration->services);
    planner_.set_services(configuration->services);
    auto& limits = context_.callers.limits;
    limits.max_head_bytes = configuration->bounds.max_head_bytes;
    limits.max_body_bytes = configuration->bounds.max_body_bytes;
    limits.head_timeout = configuration->bounds.head_timeout;
    limits.idle_timeout = configuration->bounds.idle_timeout;
    forward_context_.limits = forward_limits();
    auto const most_bytes = resources_->budget().limits().connection_message_bytes;
    if (limits.max_body_bytes > most_bytes)
        log_event(event::memory_too_small, "max_body_bytes", limits.max_body_bytes,
                  "request_limit_bytes", most_bytes);
    for (auto const& service : configuration->services)
        context_.budgets.try_emplace(service.id, budget_options(), started_at_);
    update_engines();

    // Hosts that do not read the store learn at once that there is a newer configuration
    if (source == "store")
        fleet_.announce();
}

template <entry_platform Platform>
void entry_node<Platform>::apply_listing(endpoint_listing listing,
                                         std::string_view source)
{
    log_ignored_entries(listing);
    auto const before = catalog_.position();
    if (listing.position >= before)
        relayed_listing_ = relay_text(std::move(listing.relayed));
    auto const previous = catalog_.listed_at();
    auto const outages = catalog_.outages();
    auto const changes =
        catalog_.apply_listing(listing.listed_at, listing.position,
                               std::move(listing.endpoints), listing.available_since);
    if (catalog_.outages() != outages)
        log_event(event::missing_entries_kept, "revision", listing.position.revision,
                  "source", source, "gap_ms",
                  (listing.listed_at - *previous).count() / 1'000'000);
    note_listing_history(before, source);
    for (auto const& change : changes)
        apply_endpoint_change(change, source);
    update_engines();
    on_listing_renewed();
}

template <entry_platform Platform>
void entry_node<Platform>::apply_listing_part(endpoint_listing listing)
{
    auto const changes = catalog_.apply_part(listing.listed_at, listing.position,
                                             std::move(listing.endpoints));
    for (auto const& change : changes)
        apply_endpoint_change(change, "store");
    if (!changes.empty())
        update_engines();
}

template <entry_platform Platform>
void entry_node<Platform>::note_listing_history(store_position before,
                                                std::string_view source)
{
    auto const position = catalog_.position();
    if (before == store_position{} || position.era == before.era)
        return;
    log_event(event::listing_history_changed, "old_era", before.era, "old_revision",
              before.revision, "era", position.era, "revision", position.revision,
              "known", catalog_.endpoints().size(), "kept", catalog_.kept(), "source",
              source);
    context_.metrics.count(history_changes_metric, "view", "listing");
}

template <entry_platform Platform>
void entry_node<Platform>::on_listing_renewed()
{
    software_.on_listing(*catalog_.listed_at(), catalog_.position());
    context_.wake_listing_waiters();
}

template <entry_platform Platform>
void entry_node<Platform>::log_ignored_entries(endpoint_listing const& listing)
{
    for (auto const& key : listing.ignored)
        if (!ignored_entries_.contains(key))
            log_event(event::store_entry_ignored, "key", key, "revision",
                      listing.position.revision);
    ignored_entries_ = {listing.ignored.begin(), listing.ignored.end()};
}

template <entry_platform Platform>
void entry_node<Platform>::apply_endpoint_change(endpoint_event const& change,
                                                 std::string_view source)
{
    auto const now = boot_now();
    auto const& endpoint = change.endpoint;
    if (change.change != endpoint_change::updated)
        log_event(change.change == endpoint_change::appeared
                      ? event::endpoint_appeared
                      : (change.change == endpoint_change::restarted
                             ? event::endpoint_restarted
                             : (change.change == endpoint_change::draining
                                    ? event::endpoint_leaving
                                    : event::endpoint_lost)),
                  "endpoint", endpoint.name, "software", endpoint.software_version,
                  "address", endpoint.address, "port", endpoint.port, "revision",
                  catalog_.position().revision, "source", source);
    if (change.change == endpoint_change::restarted ||
        (change.change == endpoint_change::gone && !endpoint.draining))
        on_endpoint_crash(change);
    if (change.change == endpoint_change::restarted ||
        change.change == endpoint_change::gone)
        context_.forget_rate_limit(endpoint.id);
    software_.on_endpoint(change, now);
    context_.dispatch.on_endpoint(change, now);
    planner_.on_endpoint(change, now);
}

template <entry_platform Platform>
void entry_node<Platform>::note_leaving(endpoint_announcement const& endpoint)
{
    auto const change =
        catalog_.note_leaving(endpoint.id, endpoint.started_at_ms, boot_now());
    if (!change)
        return;
    apply_endpoint_change(*change, "answer");
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

} // namespace marjorampath::serving
