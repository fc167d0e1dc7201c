#include <tests/unit/fleet/mock_fleet.hpp>
#include <tests/unit/fleet/mock_fleet_send.hpp>

#include <algorithm>

namespace marjorampath::test
{

namespace
{

// Wall-clock time at the start of virtual time, since the epoch
constexpr std::chrono::seconds wall_start{1'700'000'000};
constexpr auto region_name = "region";

} // namespace

mock_fleet::mock_fleet(std::uint64_t seed, fleet_options chosen)
    : options(std::move(chosen)), network(seed, options.max_hosts),
      machines(options.max_hosts)
{
    for (std::size_t zone = 0; zone < options.zones; ++zone)
        options.leases.zones.push_back(zone_id::of("zone-" + std::to_string(zone)));
    for (std::size_t index = 0; index < options.max_hosts; ++index)
    {
        auto& machine = machines[index];
        machine.host = host_id::of("host-" + std::to_string(index));
        machine.zone = options.leases.zones[index % options.zones];
        machine.offset = network.pick(duration{0}, std::chrono::hours(100));
        machine.rate = 1 + static_cast<double>(
                               network.pick(-options.clock_drift, options.clock_drift)) /
                               1'000;
        machine.wall_error = network.pick(-options.wall_error, options.wall_error);
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
    auto const& machine = machines[index];
    auto const elapsed = static_cast<double>(network.now().count()) * machine.rate;
    return time_point(machine.offset + duration(static_cast<std::int64_t>(elapsed)));
}

wall_milliseconds mock_fleet::wall(std::size_t index, bool skewed) const
{
    auto const error =
        skewed ? machines[index].wall_error : machines[index].wall_error / 100;
    return std::chrono::duration_cast<wall_milliseconds>(wall_start + network.now() +
                                                         error);
}

void mock_fleet::start(std::size_t index)
{
    auto& machine = machines[index];
    ++machine.generation;
    machine.started = network.now();
    host_record const self{.host = machine.host,
                           .zone = machine.zone,
                           .region = region_id::of(region_name),
                           .incarnation =
                               static_cast<std::uint64_t>(wall(index, true).count()),
                           .counter = 0,
                           .state = host_state::alive};
    machine.process = std::make_unique<fleet_process>(
        self, options, static_cast<std::uint32_t>(network.pick(0, 1'000'000)));
    lease_actions actions;
    machine.process->holder.set_resources(clock(index), resources, actions);
    auto const generation = machine.generation;
    read_list(index, generation);
    network.after(network.pick(duration{0}, options.tick), index,
                  [this, index, generation] { tick(index, generation); });
}

void mock_fleet::kill(std::size_t index)
{
    ++machines[index].generation;
    machines[index].process.reset();
}

void mock_fleet::set_listed(std::size_t index, bool listed)
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
    for (std::size_t index = 0; index < machines.size(); ++index)
    {
        if (machines[index].process)
            found.push_back(index);
    }
    return found;
}

std::vector<std::size_t> mock_fleet::owners(std::size_t resource) const
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < machines.size(); ++index)
    {
        if (!machines[index].process)
            continue;
        auto const& holder = machines[index].process->holder;
        if (holder.fencing_number_for_order(resources[resource].resource, clock(index)))
            found.push_back(index);
    }
    return found;
}

std::size_t mock_fleet::index_of(host_id host) const
{
    auto const found =
        std::find_if(machines.begin(), machines.end(),
                     [&](auto const& machine) { return machine.host == host; });
    return static_cast<std::size_t>(found - machines.begin());
}

void mock_fleet::tick(std::size_t index, int generation)
{
    auto& machine = machines[index];
    if (machine.generation != generation)
        return;
    auto const now = clock(index);
    membership_actions seen;
    machine.process->members.on_tick(now, seen);
    run(index, seen);
    refresh(index);
    lease_actions leases;
    machine.process->holder.on_tick(now, wall(index, false), leases);
    run(index, leases);
    network.after(options.tick, index,
                  [this, index, generation] { tick(index, generation); });
}

void mock_fleet::read_list(std::size_t index, int generation)
{
    auto& machine = machines[index];
    if (machine.generation != generation)
        return;

    // A restarted process reads a host list that is younger than its waiting time
    auto const young = generation > 1 && network.now() - machine.started <
                                             2 * options.leases.witness_activation_delay;
    auto const largest =
        young
            ? std::min(options.list_lag, options.leases.witness_activation_delay * 8 / 10)
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
        list.push_back({.host = machines[other].host,
                        .zone = machines[other].zone,
                        .region = region_id::of(region_name),
                        .leaving = false});
    membership_actions actions;
    machine.process->members.on_host_list(clock(index), list, actions);
    run(index, actions);
    refresh(index);
    network.after(std::chrono::milliseconds(700), index,
                  [this, index, generation] { read_list(index, generation); });
}

void mock_fleet::refresh(std::size_t index)
{
    auto& process = *machines[index].process;
    auto const& table = process.members.table();
    if (table.revision() == process.revision)
        return;
    process.revision = table.revision();
    process.activation.update(clock(index), table.self().host, table.hosts());
    process.holder.set_hosts(table.hosts(), table.self().incarnation);
}

void mock_fleet::run(std::size_t index, membership_actions& actions)
{
    auto const handle = overloaded{
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
        { machines[index].process->activation.reset(); }};
    for (auto const& action : actions)
        std::visit(handle, action);
}

void mock_fleet::run(std::size_t index, lease_actions& actions)
{
    auto const handle = overloaded{
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
                          [this](std::size_t holder, fleet_process& requester,
                                 lease_reply const& answer)
                          {
                              lease_actions next;
                              requester.holder.on_reply(
                                  clock(holder), wall(holder, false), answer, next);
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
