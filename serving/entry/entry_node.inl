namespace marjorampath::serving
{

template <entry_platform Platform>
entry_node<Platform>::entry_node(entry_settings settings,
                                 std::function<entry_settings_or_problems()> reload)
    : settings_(std::move(settings)), reload_(std::move(reload)), signals_(loop_),
      notice_timer_(loop_), grace_timer_(loop_), periodic_timer_(loop_),
      listing_timer_(loop_), watch_timer_(loop_),
      resources_(std::make_shared<host_resources>(
          loop_, resource_budget_options{
                     .limits = divide_resources(
                         {.memory_bytes = settings_.memory_mb * bytes_per_mebibyte,
                          .descriptors = settings_.descriptors})})),
      context_(make_context()),
      service_context_{
          .loop = loop_,
          .limits = service_limits(),
          .handle_request = [this](caller_session& session, caller_message const& message)
          { return answer_service(session, message); },
          .resources = resources_,
          .of = connection_class::control},
      forward_context_{.loop = loop_,
                       .limits = forward_limits(),
                       .handle_request = make_handler(true),
                       .refuse_head = [this](caller_message const& message)
                       { return refuse_head(message); },
                       .resources = resources_,
                       .of = connection_class::hosts},
      callers_(context_.callers), forwards_(forward_context_),
      readiness_(service_context_), relay_(service_context_),
      metrics_listener_(service_context_),
      source_(loop_.get_executor(), {.server = settings_.store}),
      order_connections_(
          loop_.get_executor(),
          {.max_idle = resources_->budget().limits().connections_of(
               connection_class::control),
           .source = settings_.outgoing}),
      engines_(order_connections_, settings_.host), catalog_({}),
      planner_(
          {.takeover_delay = settings_.order_quiet + std::chrono::milliseconds(100)}),
      stream_origins_(stream_origin_options{}), origin_evidence_({}),
      software_({.max_stream_age = stream_origin_options{}.max_stream_age}),
      fleet_(loop_, make_fleet_options(), make_fleet_events())
{
}

template <entry_platform Platform>
caller_limits entry_node<Platform>::forward_limits() const
{
    auto limits = context_.callers.limits;
    limits.max_head_bytes += max_forward_fields_bytes;
    return limits;
}

template <entry_platform Platform>
caller_limits entry_node<Platform>::service_limits()
{
    caller_limits limits;
    limits.max_body_bytes = max_service_body_bytes;
    return limits;
}

template <entry_platform Platform>
auto entry_node<Platform>::make_handler(bool forwarded)
{
    return [this, forwarded](caller_session& session, caller_message const& message)
    {
        // The exchange lives as long as the coroutine
        return [](entry_context& context, caller_session& caller,
                  caller_message const& request,
                  bool passed_on) -> boost::asio::awaitable<void>
        {
            entry_exchange<typename Platform::dialect> exchange(context, caller, request,
                                                                passed_on);
            co_await exchange.run();
        }(context_, session, message, forwarded);
    };
}

template <entry_platform Platform>
entry_context entry_node<Platform>::make_context()
{
    auto const endpoint_connections =
        resources_->budget().limits().connections_of(connection_class::endpoints);
    auto const seed = hash_combine(hash_bytes(settings_.host),
                                   static_cast<std::uint64_t>(wall_now().count()));
    return {
        .callers = {.loop = loop_,
                    .limits = {},
                    .handle_request = make_handler(false),
                    .refuse_head = [this](caller_message const& message)
                    { return refuse_head(message); },
                    .resources = resources_,
                    .request_seed = seed},
        .times = {},
        .routes = nullptr,
        .freshness =
            configuration_freshness({.revocation_bound = settings_.revocation_bound,
                                     .margin = settings_.revocation_margin}),
        .dispatch = dispatcher(zone_id::of(settings_.zone), {.seed = seed}),
        .connections =
            connection_pool(loop_.get_executor(),
                            {.max_idle = endpoint_connections / 2,
                             .source = settings_.outgoing,
                             .resources = resources_}),
        .budgets = {},
        .quotas = quota_registry({.tolerance = settings_.quota_tolerance},
                                 host_id::of(settings_.host), boot_now()),
        .suspects = suspect_registry({}),
        .parts = part_suspect_registry({}),
        .rate_limits = rate_limit_coordinator(host_id::of(settings_.host), {}),
        .reach = reach_monitor({}),
        .lost = {},
        .metrics = {metrics_.make_shard()},
        .request_load =
            [this](proposed_load const& load)
        {
            log_event(event::load_asked, "endpoint", load.endpoint, "adapter",
                      load.adapter, "holder", fleet_.holder_of(load.endpoint));
            context_.metrics.shard.number(load_requests_metric).add();
            fleet_.request_load({.endpoint = load.endpoint, .adapter = load.adapter});
        },
        .report_usage = [this](endpoint_id engine, bool wants_status)
        { return report_usage(engine, wants_status); },
        .check_endpoint = [this](endpoint_announcement const& endpoint)
        { check_endpoint(endpoint); },
        .note_leaving = [this](endpoint_announcement const& endpoint)
        { note_leaving(endpoint); },
        .choose_peer =
            [this](service_id service, request_id request,
                   std::span<peer_address const> tried)
        {
            return choose_forward_host(fleet_.peers(),
                                       {.request = request,
                                        .service = service,
                                        .zone = zone_id::of(settings_.zone),
                                        .tried = tried},
                                       boot_now());
        },
        .request_permit = [this](endpoint_id endpoint, std::uint64_t number)
        { return request_permit(endpoint, number); },
        .report_rate_limit = [this](rate_limit_notice const& notice)
        { report_rate_limit(notice); },
        .remember_stream = [this](stream_origin const& origin)
        { remember_stream(origin); },
        .forget_open_stream = [this](stream_id stream) { open_streams_.remove(stream); },
        .find_stream = [this](stream_id stream, std::uint64_t number)
        { return find_stream(stream, number); },
        .request_listing = [this](time_point since) { return request_listing(since); },
        .judge_versions = [this](stream_question const& question)
        { return judge_versions(question); },
        .judge_kept_parts = [this](stream_question const& question)
        { return judge_kept_parts(question); },
        .host_count = [this] { return fleet_.peers().sharing_hosts(); },
        .adapter_waiters = {},
        .status_waiters = {},
        .evidence_waiters = {},
        .permit_replies = {},
        .origin_replies = {}};
}

template <entry_platform Platform>
boost::system::error_code entry_node<Platform>::listen()
{
    auto error = callers_.listen(settings_.callers);
    if (!error)
        error = forwards_.listen(
            {boost::asio::ip::address_v4(settings_.peers.address), settings_.peers.port});
    if (!error)
        error = readiness_.listen(settings_.readiness);
    if (!error)
        error = relay_.listen(settings_.relay);
    if (!error && settings_.metrics)
        error = metrics_listener_.listen(*settings_.metrics);
    if (!error)
        error = fleet_.open();
    return error;
}

template <entry_platform Platform>
void entry_node<Platform>::run()
{
    namespace asio = boost::asio;
    log_event(event::node_started, "host", settings_.host, "zone", settings_.zone,
              "seeds", settings_.seeds.size());
    watch_signals();
    unblock_signals();
    callers_.start();
    forwards_.start();
    readiness_.start();
    relay_.start();
    if (settings_.metrics)
        metrics_listener_.start();
    asio::co_spawn(loop_, poll_endpoints(), asio::detached);
    asio::co_spawn(loop_, watch_operator(), asio::detached);
    run_periodic_tasks();
    loop_.run();
}

template <entry_platform Platform>
void entry_node<Platform>::watch_signals()
{
    boost::system::error_code ignored;
    signals_.add(SIGTERM, ignored);
    signals_.add(SIGINT, ignored);
    signals_.add(SIGHUP, ignored);
    signals_.async_wait(
        [this](boost::system::error_code error, int signal)
        {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                shut_down();
            watch_signals();
        });
}

template <entry_platform Platform>
void entry_node<Platform>::reload()
{
    auto read = reload_();
    if (auto const* problems = std::get_if<std::vector<settings_problem>>(&read))
    {
        for (auto const& problem : *problems)
            log_event(event::settings_rejected, "problem", problem.to_string());
        return;
    }

    // Addresses are fixed for the life of the process; these settings can change
    auto const& reloaded = std::get<entry_settings>(read);
    settings_.grace = reloaded.grace;
    settings_.retry_ratio = reloaded.retry_ratio;
    settings_.retry_extra = reloaded.retry_extra;
    if (context_.routes)
        for (auto& [service, budget] : context_.budgets)
            budget.set_options(budget_options());
    auto const needs_restart =
        reloaded.callers != settings_.callers || reloaded.store != settings_.store;
    log_event(event::settings_reloaded, "needs_restart", needs_restart);
}

template <entry_platform Platform>
retry_budget_options entry_node<Platform>::budget_options() const
{
    return {.ratio = settings_.retry_ratio,
            .window = settings_.retry_window,
            .extra_repeats_per_window = settings_.retry_extra};
}

template <entry_platform Platform>
bool entry_node<Platform>::ready() const
{
    auto const now = boot_now();
    auto const has_listed = source_.operator_complete() != store_position{} ||
                            now - started_at_ >= max_first_listing;
    return !stopping_ && context_.routes && has_listed && !context_.dispatch.empty() &&
           (!confirms_configuration() || context_.freshness.is_confirmed(now));
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::answer_service(caller_session& session,
                                     caller_message const& message)
{
    namespace http = boost::beast::http;
    auto const target = message.target();
    std::string_view const path(target.data(), target.size());
    caller_answer answer(http::status::ok, 11);
    if (path == settings_.readiness_path)
    {
        if (ready() != was_ready_)
        {
            was_ready_ = ready();
            log_event(event::node_ready, "ready", was_ready_);
        }
        if (!was_ready_)
            answer.result(http::status::service_unavailable);
    }
    else if (path == listing_relay_path)
    {
        co_return co_await answer_listing_relay(session, message);
    }
    else if (path.starts_with(operator_relay_path))
    {
        co_return co_await answer_operator_relay(session, message);
    }
    else if (path == "/metrics")
    {
        update_resource_metrics();
        answer.body() = metrics_.exposition();
    }
    else
    {
        answer.result(http::status::not_found);
    }
    co_await session.send(std::move(answer));
}

template <entry_platform Platform>
void entry_node<Platform>::run_periodic_tasks()
{
    auto const now = boot_now();
    context_.lost.expire(context_.suspects, now);
    context_.parts.forget_old(now);
    resources_->return_freed_memory();
    log_listing_age(now);
    confirm_configuration(now);
    for (auto const service : context_.reach.due_probes(now))
        probe_service(service);
    if (now >= next_reports_at_)
    {
        next_reports_at_ = now + times_.report_interval;
        read_reports();
    }
    if (now >= next_peer_view_at_ && !stopping_)
    {
        next_peer_view_at_ = now + times_.read_pause;
        boost::asio::co_spawn(loop_, read_peer_operator(), boost::asio::detached);
        boost::asio::co_spawn(loop_, read_peer_listing(), boost::asio::detached);
    }
    context_.dispatch.set_status_interval(fleet_.peers().heartbeat_interval());
    count_remote_work();
    if (now >= next_usage_reports_at_)
    {
        next_usage_reports_at_ = now + fleet_.peers().heartbeat_interval();
        report_busy_engines();
    }
    publish_statuses();
    send_orders();
    periodic_timer_.expires_after(times_.periodic_interval);
    periodic_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error && !finished_)
                run_periodic_tasks();
        });
}

template <entry_platform Platform>
void entry_node<Platform>::update_resource_metrics()
{
    auto& shard = context_.metrics.shard;
    auto& budget = resources_->budget();
    auto const& counted = resources_->counted();
    shard.number(held_bytes_metric).set(static_cast<double>(budget.reserved_bytes()));
    for (std::size_t index = 0; index < connection_classes; ++index)
    {
        auto const of = static_cast<connection_class>(index);
        shard.number(connections_metric, metric_label("class", to_string(of)))
            .set(static_cast<double>(budget.connections(of)));
    }
    auto const set = [&](metric const& what, std::string_view reason, std::uint64_t count)
    { shard.number(what, metric_label("reason", reason)).set(static_cast<double>(count)); };
    set(evictions_metric, to_string(budget_event::evicted_idle), counted.evicted_idle);
    set(evictions_metric, to_string(budget_event::evicted_stalled),
        counted.evicted_stalled);
    set(refusals_metric, "place", counted.refused_connections);
    set(refusals_metric, "memory", counted.refused_messages);
}

template <entry_platform Platform>
void entry_node<Platform>::publish_statuses()
{
    for (auto const engine : planner_.leased())
        publish_status(engine);
}

template <entry_platform Platform>
void entry_node<Platform>::publish_status(endpoint_id engine)
{
    auto const now = boot_now();
    if (auto const usage = context_.dispatch.take_usage(engine, now))
        planner_.on_usage(host_id::of(settings_.host), *usage, now);
    if (auto const status = planner_.status_of(engine, now))
        context_.dispatch.on_status(*status, now);
}

template <entry_platform Platform>
bool entry_node<Platform>::report_usage(endpoint_id engine, bool wants_status)
{
    if (!known_engines_.contains(engine))
        return false;
    if (planner_.holds(engine))
    {
        publish_status(engine);
        return false;
    }
    auto usage = context_.dispatch.take_usage(engine, boot_now());
    return usage && fleet_.report_usage(std::move(*usage), wants_status);
}

template <entry_platform Platform>
void entry_node<Platform>::on_status(engine_status const& status)
{
    context_.dispatch.on_status(status, boot_now());
    context_.wake(status.endpoint);
}

template <entry_platform Platform>
void entry_node<Platform>::read_reports()
{
    for (auto const engine : planner_.leased())
    {
        auto const* announced = catalog_.find(engine);
        if (announced && pending_reports_.insert(engine).second)
            boost::asio::co_spawn(loop_, read_report(*announced), boost::asio::detached);
    }
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::read_report(endpoint_announcement engine)
{
    auto const requested_at = boot_now();
    auto const report = co_await engines_.read_report(engine);
    pending_reports_.erase(engine.id);
    if (report)
        planner_.on_report(*report, requested_at, boot_now());
    send_orders();
}

template <entry_platform Platform>
void entry_node<Platform>::send_orders()
{
    if (stopping_)
        return;
    for (auto& order : planner_.next_orders(boot_now()))
        boost::asio::co_spawn(loop_, send_order(std::move(order)), boost::asio::detached);
}

template <entry_platform Platform>
void entry_node<Platform>::log_order(planned_order const& order, std::string const& name,
                                     order_result result, bool leased, duration took)
{
    auto const& basis = order.basis;
    auto const report_age = basis.report_age.value_or(std::chrono::milliseconds(-1));
    log_event(event::order_given, "endpoint", name, "kind", to_string(order.kind),
              "adapter", order.adapter, "version", order.version, "fence",
              order.fencing_number, "order_count",
              order.order_count ? static_cast<std::int64_t>(*order.order_count) : -1,
              "result", to_string(result), "leased", leased,
              "took_ms", took.count() / 1'000'000, "occupied", basis.occupied_slots,
              "slots", basis.adapter_slots, "in_transit", basis.loads_in_transit,
              "reported", to_string(basis.reported), "report_age_ms",
              report_age.count() / 1'000'000);
}

template <entry_platform Platform>
boost::asio::awaitable<void> entry_node<Platform>::send_order(planned_order order)
{
    // A copy, because the catalog may change while the engine answers
    auto const* known = catalog_.find(order.endpoint);
    auto const announced = known ? *known : endpoint_announcement{};
    auto const number = fleet_.fencing_number_for_order(order.endpoint);
    auto result = order_result::refused;
    auto const begin = boot_now();
    if (known && number && !stopping_)
    {
        order.fencing_number = *number;
        result = co_await engines_.send_order(announced, order);
    }
    log_order(order, announced.name, result, number.has_value(), boot_now() - begin);
    context_.metrics.count(orders_metric, "result", to_string(result));
    if (result == order_result::fenced)
        fleet_.on_fenced(order.endpoint, order.fencing_number);
    planner_.on_order_done(order, result, boot_now());
    publish_statuses();
    send_orders();
}

template <entry_platform Platform>
void entry_node<Platform>::shut_down()
{
    if (stopping_)
        return;
    stopping_ = true;
    context_.callers.stopping = true;
    forward_context_.stopping = true;
    log_event(event::shutdown_started, "notice_ms",
              times_.shutdown_notice.count() / 1'000'000, "connections",
              callers_.connections());
    fleet_.leave();
    notice_timer_.expires_after(times_.shutdown_notice);
    notice_timer_.async_wait([this](boost::system::error_code) { stop_callers(); });
    auto const until_end = settings_.grace - times_.grace_margin - times_.last_answers;
    context_.ends_requests_at = boot_now() + until_end;
    grace_timer_.expires_after(until_end);
    grace_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                end_requests();
        });
}

template <entry_platform Platform>
void entry_node<Platform>::end_requests()
{
    log_event(event::requests_ended, "requests", context_.open_exchanges.size());
    context_.end_requests();
    grace_timer_.expires_after(times_.last_answers);
    grace_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                finish();
        });
}

template <entry_platform Platform>
void entry_node<Platform>::stop_callers()
{
    draining_listeners_ = 2;
    callers_.stop([this] { on_listener_drained(); });
    forwards_.stop([this] { on_listener_drained(); });
}

template <entry_platform Platform>
void entry_node<Platform>::on_listener_drained()
{
    if (--draining_listeners_ == 0)
        finish();
}

template <entry_platform Platform>
void entry_node<Platform>::finish()
{
    if (std::exchange(finished_, true))
        return;
    log_event(event::shutdown_finished, "cut",
              callers_.connections() + forwards_.connections());
    fleet_.close();
    source_.close();
    signals_.cancel();
    grace_timer_.cancel();
    periodic_timer_.cancel();
    listing_timer_.cancel();
    watch_timer_.cancel();
    loop_.stop();
}

} // namespace marjorampath::serving
