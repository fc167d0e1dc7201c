#include <serving/clock/boot_time.hpp>
#include <serving/entry/entry_fleet.hpp>
#include <serving/telemetry/log.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Interval of the lease state machines, which need to run every 50 ms
constexpr auto tick_interval = std::chrono::milliseconds(50);
// Least time for which a host's announcement that it holds a lease is valid
constexpr duration min_holder_validity = std::chrono::milliseconds(1'000);
// The same in heartbeat intervals; the longer of the two applies
constexpr int holder_validity_heartbeats = 3;

udp::endpoint to_udp(peer_address const& address)
{
    return {asio::ip::address_v4(address.address), address.port};
}

// The leases treat the fleet as one zone: it has few hosts, and a zone may have only one
zone_id lease_zone()
{
    static auto const zone = zone_id::of("fleet");
    return zone;
}

resource_id resource_of(endpoint_id engine)
{
    return resource_id(engine.number());
}

endpoint_id engine_of(resource_id resource)
{
    return endpoint_id(resource.number());
}

lease_options with_zone(lease_options options)
{
    options.zones = {lease_zone()};
    return options;
}

} // namespace

entry_fleet::entry_fleet(asio::io_context& loop, entry_fleet_options options,
                         entry_fleet_events events)
    : options_(std::move(options)), events_(std::move(events)), socket_(loop),
      timer_(loop), peers_(options_.self, options_.seeds, options_.peers),
      router_(options_.self.host, options_.self.zone, {}), relay_({}),
      holder_(options_.self.host, with_zone(options_.leases)),
      witness_(options_.self.host, with_zone(options_.leases)),
      activation_(with_zone(options_.leases)), tenure_(options_.order_quiet)
{
}

error_code entry_fleet::open()
{
    error_code error;
    socket_.open(udp::v4(), error);
    if (!error)
        socket_.bind(to_udp(options_.self.address), error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        return error;
    receive();
    tick();
    return {};
}

void entry_fleet::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](error_code error, std::size_t size)
                               {
                                   if (error == asio::error::operation_aborted)
                                       return;
                                   if (!error)
                                       handle(std::string_view(buffer_.data(), size));
                                   if (socket_.is_open())
                                       receive();
                               });
}

void entry_fleet::handle(std::string_view bytes)
{
    auto message = decode_peer_message(bytes);
    if (!message)
        return;
    if (auto const* heartbeat = std::get_if<peer_heartbeat>(&*message))
        if (heartbeat->to_pass_on)
            relay_.add(heartbeat->host, bytes, boot_now());
    std::visit([this](auto const& each) { handle(each); }, *message);
}

void entry_fleet::handle(peer_heartbeat const& heartbeat)
{
    handle_heartbeat(heartbeat, boot_now(), false);
    handle_relayed(heartbeat);
}

void entry_fleet::handle_relayed(peer_heartbeat const& carrier)
{
    auto const now = boot_now();
    for (auto const& relayed : carrier.relayed)
    {
        auto const message = decode_peer_message(relayed.message);
        auto const* heartbeat =
            message ? std::get_if<peer_heartbeat>(&*message) : nullptr;
        if (heartbeat && relayed.age <= max_relayed_age)
            handle_heartbeat(*heartbeat, now - relayed.age, true);
        else
            log_event(event::heartbeat_ignored, "from", carrier.host, "bytes",
                      relayed.message.size(), "age_ms", relayed.age.count() / 1'000'000);
    }
}

void entry_fleet::handle_heartbeat(peer_heartbeat const& heartbeat,
                                   time_point received_at, bool passed_on)
{
    auto const now = boot_now();
    auto const host = heartbeat.host;
    auto const change = peers_.on_heartbeat(heartbeat, received_at);
    if (change == peer_change::ignored)
        return;
    for (auto const& engine : heartbeat.engines)
        holders_[engine.endpoint] = {host, received_at};
    switch (change)
    {
    case peer_change::ignored:
    case peer_change::none:
        break;
    case peer_change::appeared:
    case peer_change::restarted:
        log_event(event::member_alive, "host", host, "incarnation", heartbeat.incarnation,
                  "hosts", peers_.responsive_hosts(now));
        break;
    case peer_change::leaving:
    case peer_change::gone:
        log_event(event::member_left, "host", host, "gone", heartbeat.gone);
        break;
    }
    if (change != peer_change::none)
        update_hosts(now);
    if (change == peer_change::appeared || change == peer_change::restarted)
    {
        router_.on_appeared(host);
        events_.on_host_appeared(host);
    }
    events_.on_heartbeat(heartbeat, received_at, passed_on);
}

void entry_fleet::handle(lease_request const& request)
{
    send(answer_lease_request(request), request.holder);
}

void entry_fleet::handle(lease_reply const& reply)
{
    lease_actions actions;
    holder_.on_reply(boot_now(), wall_now(), reply, actions);
    carry_out(actions);
}

void entry_fleet::handle(lease_release const& release)
{
    auto const now = boot_now();
    witness_.on_release(now, release);
    if (release.successor == options_.self.host)
        holder_.on_handover(now, release);
}

peer_address entry_fleet::sender() const
{
    return {.address = sender_.address().to_v4().to_uint(), .port = sender_.port()};
}

void entry_fleet::handle(load_request const& request)
{
    auto const reply = events_.on_load_request(request);
    send(reply, sender());
}

void entry_fleet::handle(load_reply const& reply)
{
    events_.on_load_reply(reply);
}

void entry_fleet::handle(usage_report const& report)
{
    events_.on_usage(report);
    if (!report.wants_status)
        return;
    if (auto const status = events_.status_of(report.usage.endpoint))
        send(*status, sender());
}

void entry_fleet::handle(engine_status const& status)
{
    events_.on_status(status);
}

void entry_fleet::handle(permit_request const& request)
{
    send(events_.on_permit_request(request), sender());
}

void entry_fleet::handle(permit_reply const& reply)
{
    events_.on_permit_reply(reply);
}

void entry_fleet::handle(rate_limit_notice const& notice)
{
    events_.on_rate_limit(notice);
}

void entry_fleet::handle(stream_origin const& origin)
{
    events_.on_stream_origin(origin);
}

void entry_fleet::handle(stream_origin_query const& query)
{
    send(events_.on_stream_origin_query(query), sender());
}

void entry_fleet::handle(stream_origin_reply const& reply)
{
    events_.on_stream_origin_reply(reply);
}

void entry_fleet::handle(freshness_query const& query)
{
    send(events_.on_freshness_query(query), sender());
}

void entry_fleet::handle(freshness_reply const& reply)
{
    events_.on_freshness_reply(reply);
}

void entry_fleet::query_freshness(freshness_query const& query, host_id from)
{
    send(query, from);
}

void entry_fleet::report_stream_origin(stream_origin const& origin, host_id to)
{
    send(origin, to);
}

void entry_fleet::query_stream_origin(stream_origin_query const& query, host_id from)
{
    send(query, from);
}

void entry_fleet::request_permit(permit_request const& request, host_id from)
{
    send(request, from);
}

void entry_fleet::report_rate_limit(rate_limit_notice const& notice, host_id to)
{
    send(notice, to);
}

lease_reply entry_fleet::answer_lease_request(lease_request const& request)
{
    return witness_.on_request(boot_now(), request, peers_.incarnation(), activation_);
}

void entry_fleet::update_hosts(time_point now)
{
    auto hosts = peers_.known_hosts(now);
    for (auto& host : hosts)
        host.record.zone = lease_zone();
    activation_.update(now, options_.self.host, hosts);
    holder_.set_hosts(hosts, peers_.incarnation());
}

void entry_fleet::tick()
{
    auto const now = boot_now();

    // After a pause of this length the others may have removed this host
    if (last_tick_ && now - *last_tick_ > options_.peers.removal_delay / 2)
        activation_.reset();
    if (last_tick_ && now - *last_tick_ > options_.leases.tick_gap)
        log_event(event::pause_detected, "gap_ms",
                  (now - *last_tick_).count() / 1'000'000);
    last_tick_ = now;

    if (now >= next_heartbeat_at_)
    {
        for (auto const host : peers_.on_tick(now))
            log_event(event::member_suspected, "host", host);
        update_hosts(now);
        witness_.forget_old(now);
        send_round(now);
        next_heartbeat_at_ = now + peers_.heartbeat_interval();
    }
    lease_actions actions;
    holder_.on_tick(now, wall_now(), actions);
    carry_out(actions);
    tenure_.on_tick(holder_, now);

    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
                tick();
        });
}

peer_heartbeat entry_fleet::make_heartbeat()
{
    auto heartbeat = options_.self;
    heartbeat.incarnation = peers_.incarnation();
    heartbeat.gone = gone_;
    heartbeat.passes_on = true;
    heartbeat.sequence = ++sequence_;

    events_.fill_heartbeat(heartbeat);
    return heartbeat;
}

void entry_fleet::send_heartbeat(peer_heartbeat heartbeat, heartbeat_target const& to)
{
    heartbeat.to_pass_on = to.passes_on;
    heartbeat.mentions = peers_.mentions(to.host.value_or(host_id()), to.introduced);
    if (to.host)
        events_.fill_heartbeat_for(heartbeat, *to.host);
    send(heartbeat, to.address);
}

void entry_fleet::send_round(time_point now)
{
    auto const targets = router_.next_round(peers_, now);
    auto const common = make_heartbeat();
    auto carrier = common;
    carrier.relayed = relay_.take(now);
    for (auto const& target : targets)
        send_heartbeat(target.in_group ? carrier : common, target);
}

void entry_fleet::send_to_all()
{
    auto const common = make_heartbeat();
    for (auto const& address : peers_.targets(boot_now()))
        send_heartbeat(common, {.address = address, .host = peers_.host_at(address)});
}

void entry_fleet::announce()
{
    if (!peers_.uses_groups())
        return send_to_all();
    auto const common = make_heartbeat();
    for (auto const& [id, known] : peers_.peers())
        if (known.last_heartbeat.zone == options_.self.zone ||
            !known.last_heartbeat.passes_on)
            send_heartbeat(common, {.address = known.last_heartbeat.address, .host = id});
}

void entry_fleet::set_engines(std::vector<endpoint_id> const& engines)
{
    std::vector<leased_resource> resources;
    for (auto const engine : engines)
        resources.push_back({.resource = resource_of(engine), .zone = {}});
    lease_actions actions;
    holder_.set_resources(boot_now(), resources, actions);
    carry_out(actions);
}

host_id entry_fleet::holder_of(endpoint_id engine) const
{
    if (holder_.fencing_number_for_order(resource_of(engine), boot_now()))
        return options_.self.host;
    auto const found = holders_.find(engine);
    auto const validity = std::max(min_holder_validity, peers_.heartbeat_interval() *
                                                            holder_validity_heartbeats);
    if (found == holders_.end() || boot_now() - found->second.announced_at > validity)
        return {};
    return found->second.host;
}

void entry_fleet::request_load(load_request const& request)
{
    auto const holder = holder_of(request.endpoint);
    if (!holder)
        return events_.on_load_reply(
            {.endpoint = request.endpoint, .adapter = request.adapter});
    if (holder == options_.self.host)
        return events_.on_load_reply(events_.on_load_request(request));
    send(request, holder);
}

bool entry_fleet::report_usage(endpoint_usage usage, bool wants_status)
{
    auto const holder = holder_of(usage.endpoint);
    if (!holder || holder == options_.self.host)
        return false;
    usage_report const report{.host = options_.self.host,
                              .usage = std::move(usage),
                              .wants_status = wants_status};
    send(report, holder);
    return true;
}

std::optional<std::uint64_t>
entry_fleet::fencing_number_for_order(endpoint_id engine) const
{
    return holder_.fencing_number_for_order(resource_of(engine), boot_now());
}

void entry_fleet::on_fenced(endpoint_id engine, std::uint64_t number)
{
    holder_.on_fencing_refused(boot_now(), wall_now(), resource_of(engine), number);
}

void entry_fleet::carry_out(lease_actions const& actions)
{
    for (auto const& action : actions)
        std::visit([this](auto const& each) { carry_out(each); }, action);
}

void entry_fleet::carry_out(send_lease_request const& action)
{
    if (action.to == options_.self.host)
        return handle(answer_lease_request(action.request));
    send(action.request, action.to);
}

void entry_fleet::carry_out(send_lease_release const& action)
{
    if (action.to == options_.self.host)
        return handle(action.release);
    send(action.release, action.to);
}

void entry_fleet::carry_out(lease_acquired const& action)
{
    auto const continued = tenure_.on_acquired(action, boot_now());
    log_event(event::lease_gained, "resource", action.resource, "number",
              action.fencing_number, "continued", continued);
    events_.on_acquired(engine_of(action.resource), action.fencing_number, continued);
}

void entry_fleet::carry_out(lease_lost const& action)
{
    log_event(event::lease_lost, "resource", action.resource, "reason",
              static_cast<int>(action.reason));
    events_.on_lost(engine_of(action.resource));
}

void entry_fleet::send(peer_message const& message, peer_address const& to)
{
    if (!socket_.is_open())
        return;
    auto const bytes = encode_peer_message(message);
    error_code error;

    // A failed send is treated as a lost datagram: all messages are sent again
    socket_.send_to(asio::buffer(bytes), to_udp(to), 0, error);
}

void entry_fleet::send(peer_message const& message, host_id to)
{
    auto const found = peers_.peers().find(to);
    if (found != peers_.peers().end())
        send(message, found->second.last_heartbeat.address);
}

void entry_fleet::leave()
{
    options_.self.leaving = true;
    peers_.leave();
    lease_actions actions;
    holder_.leave(boot_now(), actions);
    carry_out(actions);
    send_to_all();
}

void entry_fleet::close()
{
    gone_ = true;
    send_to_all();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

} // namespace marjorampath::serving
