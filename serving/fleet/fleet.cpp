#include <serving/clock/boot_time.hpp>
#include <serving/fleet/fleet.hpp>
#include <serving/telemetry/log.hpp>

#include <utility>

namespace marjorampath::serving
{

namespace
{

// Time after which a host that was asked for its grants is asked again
constexpr duration recall_timeout = std::chrono::milliseconds(500);

host_record self_record(fleet_settings const& settings)
{
    return {.host = host_id::of(settings.host),
            .zone = zone_id::of(settings.zone),
            .region = region_id::of(settings.region),
            .incarnation = static_cast<std::uint64_t>(wall_now().count())};
}

lease_options make_lease_options(fleet_settings const& settings)
{
    lease_options options;
    options.witnesses_per_zone = settings.witnesses_per_zone;
    for (auto const& zone : settings.zones)
        options.zones.push_back(zone_id::of(zone));
    return options;
}

resource_id cell_of(fleet_settings const& settings)
{
    return resource_id::of("cell/" + settings.region);
}

} // namespace

fleet::fleet(boost::asio::io_context& control, fleet_settings const& settings,
             grant_service& local, fleet_events events)
    : control_(control), settings_(settings), events_(std::move(events)),
      self_(host_id::of(settings.host)), cell_(cell_of(settings)), loop_(control),
      peers_(control, {.region = settings.region, .tls = settings.tls},
             [this]
             {
                 return node_hello{.host = self_,
                                   .incarnation = members_.table().self().incarnation};
             }),
      members_(self_record(settings), {}, peers_,
               {.add_news = [this](gossip& news) { add_news(news); },
                .take_news = [this](host_id, gossip const& news) { take_news(news); },
                .on_host = [this](host_changed const& change) { on_host(change); },
                .on_new_incarnation = [this] { leases_.on_new_incarnation(); }}),
      leases_(self_, make_lease_options(settings), members_.table(), peers_,
              {.on_acquired = [this](lease_acquired const& lease) { on_acquired(lease); },
               .on_lost = [this](lease_lost const&) { on_lost(); }}),
      router_({.self = self_, .cell = cell_}, leases_.holder(), local, peers_),
      listener_(control, {.address = settings.address, .tls = settings.tls}, service_),
      timer_(control)
{
    serve();
    leases_.set_resources({{.resource = cell_, .zone = {}}});
    events_.on_order_permission(false);
}

void fleet::serve()
{
    service_.hello = [this](node_hello const&, reply_function<node_hello> const& reply)
    { reply({.host = self_, .incarnation = members_.table().self().incarnation}); };
    members_.serve(service_);
    leases_.serve(service_);
    router_.serve(service_, [this] { return members_.table().self().incarnation; });
}

std::error_code fleet::open()
{
    if (auto const error = listener_.open())
        return error;
    tick();
    return {};
}

void fleet::update(std::vector<host_entry> const& hosts)
{
    peers_.update(hosts);
    std::vector<listed_host> listed;
    for (auto const& entry : hosts)
        if (entry.role == host_role::entry)
            listed.push_back({.host = host_id::of(entry.name),
                              .zone = zone_id::of(entry.zone),
                              .region = region_id::of(entry.region),
                              .leaving = entry.state == serving::host_state::leaving});
    members_.on_host_list(listed);
}

fencing_source fleet::as_fencing_source()
{
    return {.current = [this]
            { return leases_.holder().fencing_number_for_order(cell_, boot_now()); },
            .on_refused =
                [this](std::uint64_t number)
            {
                log_event(event::fencing_refused, "number", number);
                leases_.holder().on_fencing_refused(boot_now(), wall_now(), cell_,
                                                    number);
            }};
}

void fleet::tick()
{
    auto const now = boot_now();
    members_.on_tick();
    leases_.on_tick();
    detect_owner_change(now);
    advance_takeover(now);
    router_.on_tick();
    expire_dead_hosts(now);

    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                tick();
        });
}

void fleet::on_acquired(lease_acquired const& lease)
{
    has_owner_state_ = true;
    owner_ = {.resource = cell_, .holder = self_, .fencing_number = lease.fencing_number};
    router_.set_number(lease.fencing_number);

    // What others run under earlier grants is not known yet
    guard_.emplace(cell_, self_, lease.fencing_number,
                   takeover_options{.longest_deadline = settings_.longest_deadline},
                   boot_now());
    guard_->set_hosts(members_.table().hosts());
    guard_revision_ = members_.table().revision();
    events_.on_eviction_permission(false);
    events_.on_order_permission(true);
}

void fleet::on_lost()
{
    guard_.reset();
    events_.on_order_permission(false);
}

void fleet::advance_takeover(time_point now)
{
    if (!guard_)
        return;
    if (guard_revision_ != members_.table().revision())
    {
        guard_revision_ = members_.table().revision();
        guard_->set_hosts(members_.table().hosts());
    }

    auto const recall = guard_->recall();
    for (auto const& host : guard_->take_hosts_to_query(now))
    {
        if (host == self_)
        {
            auto const incarnation = members_.table().self().incarnation;
            if (auto const list = router_.on_recall(recall, incarnation))
                apply_registration(*list);
            continue;
        }
        peers_.call<grant_recall>(host, recall, recall_timeout,
                                  [this](std::error_code error, grant_list const& list)
                                  {
                                      if (!error)
                                          apply_registration(list);
                                  });
    }

    if (!guard_->may_evict(now))
        return;
    log_event(event::reregistration_complete, "missing", guard_->missing());
    guard_.reset();
    events_.on_eviction_permission(true);
}

void fleet::apply_registration(grant_list const& list)
{
    if (!guard_ || !guard_->on_grant_list(list))
        return;
    for (auto const& held : list.grants)
        events_.on_grant_registered({.request = held.request,
                                     .entry = list.entry,
                                     .endpoint = held.endpoint,
                                     .kind = held.kind,
                                     .adapter = held.adapter,
                                     .team = held.team,
                                     .isolated = held.isolated});
}

void fleet::detect_owner_change(time_point now)
{
    if (!has_owner_state_ ||
        leases_.holder().hold_status(cell_, now) != marjorampath::lease_status::none)
        return;
    has_owner_state_ = false;
    log_event(event::owner_changed, "owner", owner_.holder);
    events_.on_deposed();
}

void fleet::on_host(host_changed const& change)
{
    switch (change.state)
    {
    case marjorampath::host_state::alive:
        log_event(event::member_alive, "host", change.host);
        break;
    case marjorampath::host_state::leaving:
        log_event(event::member_left, "host", change.host);
        break;
    case marjorampath::host_state::suspect:
        log_event(event::member_suspected, "host", change.host);
        break;
    case marjorampath::host_state::dead:
        log_event(event::member_dead, "host", change.host);
        break;
    }

    // The system closed the connections of the earlier process to engines
    if (change.restarted)
        events_.on_entry_host_lost(change.host);
    if (change.state == marjorampath::host_state::dead)
        dead_since_.emplace(change.host, boot_now());
    else
        dead_since_.erase(change.host);
}

void fleet::expire_dead_hosts(time_point now)
{
    for (auto entry = dead_since_.begin(); entry != dead_since_.end();)
    {
        if (now - entry->second < settings_.longest_deadline)
        {
            ++entry;
            continue;
        }
        events_.on_entry_host_lost(entry->first);
        entry = dead_since_.erase(entry);
    }
}

void fleet::add_news(gossip& news) const
{
    if (owner_.holder)
        news.leases.push_back(owner_);
}

void fleet::take_news(gossip const& news)
{
    for (auto const& hint : news.leases)
    {
        leases_.holder().on_hint(hint.resource, hint.holder, hint.fencing_number);
        if (hint.resource == cell_ && hint.fencing_number > owner_.fencing_number)
            owner_ = hint;
    }
}

void fleet::leave()
{
    members_.leave();
    leases_.leave();
}

void fleet::close()
{
    timer_.cancel();
    listener_.close();
    peers_.close();
}

void fleet::drain()
{
    do
    {
        loop_.drain();
        control_.restart();
    } while (control_.poll() > 0);
    loop_.drain();
}

} // namespace marjorampath::serving
