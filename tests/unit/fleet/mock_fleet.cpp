#include <tests/unit/fleet/mock_fleet.hpp>
#include <tests/unit/fleet/mock_fleet_send.hpp>

#include <algorithm>

namespace marjorampath::test
{

namespace
{

// Virtual time of the start, on every wall clock
constexpr std::chrono::seconds wall_start{1'700'000'000};
constexpr auto region_name = "region";

} // namespace

mock_fleet::mock_fleet(std::uint64_t seed, fleet_options chosen)
    : options(std::move(chosen)), network(seed, options.places), places(options.places)
{
    for (std::size_t zone = 0; zone < options.zones; ++zone)
        options.leases.zones.push_back(zone_id::of("zone-" + std::to_string(zone)));
    for (std::size_t index = 0; index < options.places; ++index)
    {
        auto& place = places[index];
        place.host = host_id::of("host-" + std::to_string(index));
        place.zone = options.leases.zones[index % options.zones];
        place.offset = network.pick(duration{0}, std::chrono::hours(100));
        place.rate = 1 + static_cast<double>(
                             network.pick(-options.clock_drift, options.clock_drift)) /
                             1'000;
        place.wall_error = network.pick(-options.wall_error, options.wall_error);
    }
    for (std::size_t index = 0; index < options.resources; ++index)
        resources.push_back({resource_id::of("cell-" + std::to_string(index)),
                             options.leases.zones[index % options.zones]});

    listing first{};
    for (std::size_t index = 0; index < options.hosts; ++index)
        first.listed.push_back(index);
    listings_.push_back(first);
    for (std::size_t index = 0; index < options.hosts; ++index)
        start(index);
}

time_point mock_fleet::clock(std::size_t index) const
{
    auto const& place = places[index];
    auto const elapsed = static_cast<double>(network.now().count()) * place.rate;
    return time_point(place.offset + duration(static_cast<std::int64_t>(elapsed)));
}

wall_milliseconds mock_fleet::wall(std::size_t index, bool skewed) const
{
    auto const error = skewed ? places[index].wall_error : places[index].wall_error / 100;
    return std::chrono::duration_cast<wall_milliseconds>(wall_start + network.now() +
                                                         error);
}

void mock_fleet::start(std::size_t index)
{
    auto& place = places[index];
    ++place.generation;
    place.started = network.now();
    host_record const self{.host = place.host,
                           .zone = place.zone,
                           .region = region_id::of(region_name),
                           .incarnation =
                               static_cast<std::uint64_t>(wall(index, true).count()),
                           .counter = 0,
                           .state = host_state::alive};
    place.process = std::make_unique<fleet_process>(
        self, options, static_cast<std::uint32_t>(network.pick(0, 1'000'000)));
    lease_actions actions;
    place.process->holder.set_resources(clock(index), resources, actions);
    auto const generation = place.generation;
    read_list(index, generation);
    network.after(network.pick(duration{0}, options.tick), index,
                  [this, index, generation] { tick(index, generation); });
}

void mock_fleet::kill(std::size_t index)
{
    ++places[index].generation;
    places[index].process.reset();
}

void mock_fleet::list(std::size_t index, bool listed)
{
    auto next = listings_.back();
    next.at = network.now();
    std::erase(next.listed, index);
    if (listed)
        next.listed.push_back(index);
    listings_.push_back(std::move(next));
}

std::vector<std::size_t> mock_fleet::running() const
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < places.size(); ++index)
    {
        if (places[index].process)
            found.push_back(index);
    }
    return found;
}

std::vector<std::size_t> mock_fleet::owners(std::size_t resource) const
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < places.size(); ++index)
    {
        if (!places[index].process)
            continue;
        auto const& holder = places[index].process->holder;
        if (holder.fencing_number_for_order(resources[resource].resource, clock(index)))
            found.push_back(index);
    }
    return found;
}

std::size_t mock_fleet::index_of(host_id host) const
{
    auto const found =
        std::find_if(places.begin(), places.end(),
                     [&](auto const& place) { return place.host == host; });
    return static_cast<std::size_t>(found - places.begin());
}

void mock_fleet::tick(std::size_t index, int generation)
{
    auto& place = places[index];
    if (place.generation != generation)
        return;
    auto const now = clock(index);
    membership_actions seen;
    place.process->members.on_tick(now, seen);
    run(index, seen);
    refresh(index);
    lease_actions leases;
    place.process->holder.on_tick(now, wall(index, false), leases);
    run(index, leases);
    network.after(options.tick, index,
                  [this, index, generation] { tick(index, generation); });
}

void mock_fleet::read_list(std::size_t index, int generation)
{
    auto& place = places[index];
    if (place.generation != generation)
        return;

    // A process that starts again reads a list that is not older than its waiting time
    auto const young =
        generation > 1 && network.now() - place.started < 2 * options.leases.settle;
    auto const largest = young
                             ? std::min(options.list_lag, options.leases.settle * 8 / 10)
                             : options.list_lag;
    auto const seen = network.now() - network.pick(duration{0}, largest);
    auto const* shown = &listings_.front();
    for (auto const& listing : listings_)
    {
        if (listing.at <= seen)
            shown = &listing;
    }

    std::vector<listed_host> list;
    for (auto const other : shown->listed)
        list.push_back({.host = places[other].host,
                        .zone = places[other].zone,
                        .region = region_id::of(region_name),
                        .leaving = false});
    membership_actions actions;
    place.process->members.on_host_list(clock(index), list, actions);
    run(index, actions);
    refresh(index);
    network.after(std::chrono::milliseconds(700), index,
                  [this, index, generation] { read_list(index, generation); });
}

void mock_fleet::refresh(std::size_t index)
{
    auto& process = *places[index].process;
    auto const& table = process.members.table();
    if (table.revision() == process.revision)
        return;
    process.revision = table.revision();
    process.activation.update(clock(index), table.self().host, table.hosts());
    process.holder.set_hosts(table.hosts(), table.self().incarnation);
}

void mock_fleet::run(std::size_t index, membership_actions& actions)
{
    auto const handle = cases{
        [&](send_probe const& action)
        {
            send(index, action.to, action.message,
                 [this](std::size_t at, fleet_process& process, probe const& message)
                 {
                     membership_actions next;
                     process.members.on_probe(clock(at), message, next);
                     refresh(at);
                     run(at, next);
                 });
        },
        [&](send_probe_reply const& action)
        {
            send(
                index, action.to, action.message,
                [this](std::size_t at, fleet_process& process, probe_reply const& message)
                {
                    membership_actions next;
                    process.members.on_probe_reply(clock(at), message, next);
                    refresh(at);
                    run(at, next);
                });
        },
        [&](send_indirect_probe const& action)
        {
            send(index, action.to, action.message,
                 [this](std::size_t at, fleet_process& process,
                        indirect_probe const& message)
                 {
                     membership_actions next;
                     process.members.on_indirect_probe(clock(at), message, next);
                     refresh(at);
                     run(at, next);
                 });
        },
        [](host_changed const&) {},
        [&](own_incarnation_changed const&)
        { places[index].process->activation.reset(); }};
    for (auto const& action : actions)
        std::visit(handle, action);
}

void mock_fleet::run(std::size_t index, lease_actions& actions)
{
    auto const handle = cases{
        [&](send_lease_request const& action)
        {
            send(index, action.to, action.request,
                 [this](std::size_t at, fleet_process& process,
                        lease_request const& request)
                 {
                     refresh(at);
                     auto const incarnation = process.members.table().self().incarnation;
                     auto const reply = process.witness.on_request(
                         clock(at), request, incarnation, process.activation);
                     send(at, request.holder, reply,
                          [this](std::size_t holder, fleet_process& asker,
                                 lease_reply const& answer)
                          {
                              lease_actions next;
                              asker.holder.on_reply(clock(holder), wall(holder, false),
                                                    answer, next);
                              run(holder, next);
                          });
                 });
        },
        [&](send_lease_release const& action)
        {
            send(index, action.to, action.release,
                 [this](std::size_t at, fleet_process& process,
                        lease_release const& release)
                 {
                     process.witness.on_release(clock(at), release);
                     process.holder.on_handover(clock(at), release);
                 });
        },
        [](lease_acquired const&) {}, [](lease_lost const&) {}};
    for (auto const& action : actions)
        std::visit(handle, action);
}

} // namespace marjorampath::test
