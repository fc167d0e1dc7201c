namespace marjorampath::serving
{

template <entry_platform Platform>
entry_fleet_options entry_node<Platform>::make_fleet_options() const
{
    entry_fleet_options options{
        .self = {.host = host_id::of(settings_.host),
                 .zone = zone_id::of(settings_.zone),
                 .incarnation = static_cast<std::uint64_t>(wall_now().count()),
                 .address = settings_.peers},
        .seeds = {},
        .leases = {.term = std::chrono::milliseconds(1'200),
                   .renew_interval = std::chrono::milliseconds(350),
                   .witness_activation_delay = std::chrono::milliseconds(1'400),
                   .rebalance_delay = std::chrono::minutes(10),
                   .zones = {},
                   .witnesses_per_zone = settings_.witnesses,
                   .wait_for_younger = false},
        .order_quiet = settings_.order_quiet,
        .peers = {}};
    for (auto const& seed : settings_.seeds)
        if (seed.address().is_v4())
            options.seeds.push_back(
                {seed.address().to_v4().to_uint(), settings_.peers.port});
    return options;
}

template <entry_platform Platform>
entry_fleet_events entry_node<Platform>::make_fleet_events()
{
    return {
        .fill_heartbeat = [this](peer_heartbeat& heartbeat)
        { fill_heartbeat(heartbeat); },
        .fill_heartbeat_for = [this](peer_heartbeat& heartbeat, host_id to)
        { fill_heartbeat_for(heartbeat, to); },
        .on_heartbeat = [this](peer_heartbeat const& heartbeat, time_point received_at,
                               bool passed_on)
        { on_heartbeat(heartbeat, received_at, passed_on); },
        .on_load_request = [this](load_request const& request)
        { return on_load_request(request); },
        .on_load_reply = [this](load_reply const& reply) { on_load_reply(reply); },
        .on_usage = [this](usage_report const& report)
        { planner_.on_usage(report.host, report.usage, boot_now()); },
        .status_of = [this](endpoint_id engine)
        { return planner_.status_of(engine, boot_now()); },
        .on_status = [this](engine_status const& status) { on_status(status); },
        .on_permit_request = [this](permit_request const& request)
        { return on_permit_request(request); },
        .on_permit_reply = [this](permit_reply const& reply) { on_permit_reply(reply); },
        .on_rate_limit = [this](rate_limit_notice const& notice)
        { apply_peer_rate_limit(notice); },
        .on_host_appeared = [this](host_id host) { report_open_streams(host); },
        .on_stream_origin = [this](stream_origin const& origin)
        { stream_origins_.remember(origin, boot_now()); },
        .on_stream_origin_query = [this](stream_origin_query const& query)
        { return on_stream_origin_query(query); },
        .on_stream_origin_reply = [this](stream_origin_reply const& reply)
        { on_stream_origin_reply(reply); },
        .on_freshness_query = [this](freshness_query const& query)
        { return context_.freshness.reply_to(query, boot_now()); },
        .on_freshness_reply = [this](freshness_reply const& reply)
        { context_.freshness.on_reply(reply); },
        .on_acquired = [this](endpoint_id engine, std::uint64_t number, bool continued)
        { planner_.on_lease(engine, number, continued, boot_now()); },
        .on_lost = [this](endpoint_id engine) { planner_.on_lease_lost(engine); }};
}

template <entry_platform Platform>
void entry_node<Platform>::fill_heartbeat(peer_heartbeat& heartbeat)
{
    auto const now = boot_now();
    auto const operator_data = source_.operator_data();
    heartbeat.operator_change = operator_data.change;
    heartbeat.kept_configuration = operator_data.kept_configuration;
    heartbeat.listing_position = catalog_.position();
    heartbeat.listing_age =
        catalog_.listed_at() ? now - *catalog_.listed_at() : duration{0};
    if (confirms_configuration())
        heartbeat.configuration_age = context_.freshness.age(now);
    heartbeat.loads_in_transit = planner_.loads_in_transit(now);
    heartbeat.engines = planner_.statuses(now);
    heartbeat.convictions = context_.suspects.convictions(now);
    heartbeat.rate_limits = context_.rate_limits.reported(fleet_.peers(), now);
    heartbeat.parts = context_.parts.reports(now);
    heartbeat.quotas = context_.quotas.reports(now);
    heartbeat.unreached_services = context_.reach.cut_services();
    for (auto const& [id, endpoint] : catalog_.endpoints())
    {
        auto const* load = context_.dispatch.find(id);
        if (load && load->in_flight > 0 && !known_engines_.contains(id))
            heartbeat.usage.push_back({.endpoint = id, .in_flight = load->in_flight});
    }
}

template <entry_platform Platform>
void entry_node<Platform>::fill_heartbeat_for(peer_heartbeat& heartbeat, host_id to)
{
    auto const now = boot_now();
    for (auto const engine : known_engines_)
        if (fleet_.holder_of(engine) == to)
            if (auto usage = context_.dispatch.take_usage(engine, now))
                heartbeat.usage.push_back(std::move(*usage));
}

template <entry_platform Platform>
void entry_node<Platform>::report_busy_engines()
{
    // In a small fleet each lease holder gets this host's heartbeats
    if (!fleet_.peers().uses_groups())
        return;
    for (auto const engine : known_engines_)
    {
        auto const* load = context_.dispatch.find(engine);
        auto const busy = load && load->in_flight > 0;
        // The end of the last request is reported once more, in case a datagram was lost
        auto const was_busy = busy ? !busy_engines_.insert(engine).second
                                   : busy_engines_.erase(engine) > 0;
        if (busy || was_busy)
            report_usage(engine, false);
    }
}

template <entry_platform Platform>
void entry_node<Platform>::on_heartbeat(peer_heartbeat const& heartbeat,
                                        time_point received_at, bool passed_on)
{
    auto const now = boot_now();
    for (auto const& status : heartbeat.engines)
        context_.dispatch.on_status(status, received_at);
    for (auto const& known : heartbeat.convictions)
        context_.suspects.merge(received_at, known);
    for (auto const& notice : heartbeat.rate_limits)
    {
        auto aged = notice;
        aged.age += now - received_at;
        apply_peer_rate_limit(aged);
    }
    for (auto const& report : heartbeat.parts)
        context_.parts.merge(report, received_at);
    log_part_convictions();
    context_.quotas.on_reports(heartbeat.host, heartbeat.quotas,
                               heartbeat.sequence >= established_heartbeats, now);

    // The sender has nothing in flight at plain endpoints that its heartbeat does not
    // list. What it reports of engines is for the receiver alone
    std::map<endpoint_id, std::uint32_t> plain;
    for (auto const& usage : heartbeat.usage)
    {
        if (!known_engines_.contains(usage.endpoint))
            plain[usage.endpoint] = usage.in_flight;
        else if (!passed_on)
            planner_.on_usage(heartbeat.host, usage, now);
    }
    update_others_in_flight(heartbeat.host, plain);
}

template <entry_platform Platform>
void entry_node<Platform>::update_others_in_flight(
    host_id host, std::map<endpoint_id, std::uint32_t> const& in_flight)
{
    for (auto const& [endpoint, count] : in_flight)
        others_in_flight_[endpoint];
    for (auto& [endpoint, hosts] : others_in_flight_)
    {
        auto const found = in_flight.find(endpoint);
        auto const changed = found == in_flight.end()
                                 ? hosts.erase(host) > 0
                                 : std::exchange(hosts[host], found->second) !=
                                       found->second;
        if (changed)
            count_others_in_flight(endpoint, hosts);
    }
}

template <entry_platform Platform>
void entry_node<Platform>::count_others_in_flight(
    endpoint_id endpoint, std::map<host_id, std::uint32_t> const& hosts)
{
    auto const now = boot_now();
    std::uint32_t sum = 0;
    for (auto const& [host, count] : hosts)
        sum += fleet_.peers().is_responsive(host, now) ? count : 0;
    context_.dispatch.on_others_in_flight(endpoint, sum);
}

template <entry_platform Platform>
void entry_node<Platform>::count_remote_work()
{
    auto const now = boot_now();
    std::uint32_t remote_loads = 0;
    for (auto const& [host, known] : fleet_.peers().peers())
        remote_loads += fleet_.peers().is_responsive(host, now)
                            ? known.last_heartbeat.loads_in_transit
                            : 0;
    planner_.set_remote_loads(remote_loads);
    auto const sharing = fleet_.peers().sharing_hosts();
    auto const responsive = fleet_.peers().responsive_hosts(now);
    auto const introduction =
        fleet_.peers().heartbeat_interval() * introduction_heartbeats;
    context_.quotas.set_hosts(
        {.sharing = fleet_.peers().mentioned_hosts() + sharing,
         .silent = sharing - std::min(sharing, responsive),
         .unknown_for = std::max(started_at_ + introduction - now, duration{0})},
        now);
    for (auto const& [endpoint, hosts] : others_in_flight_)
        count_others_in_flight(endpoint, hosts);
}

template <entry_platform Platform>
load_reply entry_node<Platform>::on_load_request(load_request const& request)
{
    auto const reply = planner_.on_load_request(request, boot_now());
    log_event(event::load_decided, "endpoint", request.endpoint, "adapter",
              request.adapter, "refusal", to_string(reply.refusal), "ready_in_ms",
              reply.ready_in.count() / 1'000'000);
    send_orders();
    return reply;
}

template <entry_platform Platform>
void entry_node<Platform>::on_load_reply(load_reply const& reply)
{
    context_.dispatch.on_load_reply(reply, boot_now());
    context_.wake(reply.adapter);
}

} // namespace marjorampath::serving
