#include <tests/soak/cut_check.hpp>
#include <tests/soak/key_check.hpp>
#include <tests/soak/limit_check.hpp>
#include <tests/soak/monotonic_time.hpp>
#include <tests/soak/part_check.hpp>
#include <tests/soak/soak_run.hpp>

#include <fmt/format.h>

#include <csignal>
#include <platform/standin/operator_documents.hpp>
#include <stdexcept>

namespace marjorampath::test
{

namespace
{

using namespace std::chrono_literals;

// Time limit for the fleet to become ready, including leases and the first loads
constexpr auto startup_timeout = 20s;
// Time limit from the last fault to normal service (`recoverS`)
constexpr auto recovery_timeout = 15s;
// Grace period of a node (`graceS`) plus scheduling delays of the host
constexpr auto shutdown_timeout = 8s + 500ms;
// Delay before a process that ended is replaced or restarted
constexpr auto restart_delay = 300ms;
// Time for which an engine that crashed by itself is away
constexpr auto crash_downtime = 1500ms;
// Part of a prompt that crashes engines
constexpr char const* crashing_part = "bad";
// Time from the announcement that an endpoint leaves to the end of its process
constexpr auto drain_time = 5s;
// The platform's bounds: time within which a configuration must be in force
// (`configApplyMs`), and time without faults for which it holds (`contactMs`)
constexpr auto configuration_timeout = 3s;
constexpr std::int64_t contact_ms = 4'000;
// Time between the two configurations of a large change
constexpr auto second_change_delay = 1s;
// Time by which a slow store holds its answers back, and for how long
constexpr auto slow_store_delay = 160ms;
constexpr auto slow_store_time = 4s;
// Time for which a store that is restored does not answer
constexpr std::chrono::milliseconds store_away_time = 800ms;
// Time from its return until its bounds hold for what is written, and delays of the soak
constexpr std::chrono::milliseconds settled_delay(contact_ms + 500);
// Descriptors of a node with a crowd, and the memory of a small machine
constexpr std::uint32_t crowded_descriptors = 400;
constexpr std::size_t most_memory_kb = 60'000;
// Step of the loop that waits for due actions and stopping nodes
constexpr auto poll_interval = 10ms;

soak_fleet::options with_crashing_part(soak_options const& options)
{
    auto values = options.fleet;
    if (options.crashing_callers > 0)
        values.crashing_part = crashing_part;
    values.revocations = static_cast<std::size_t>(options.schedule.revocations);
    if (options.crowd > 0)
        values.descriptors = crowded_descriptors;
    return values;
}

std::vector<boost::asio::ip::tcp::endpoint> caller_addresses(soak_fleet const& fleet)
{
    std::vector<boost::asio::ip::tcp::endpoint> addresses;
    for (auto const& node : fleet.nodes)
        addresses.push_back(node.callers->address());
    return addresses;
}

} // namespace

soak_run::soak_run(soak_options const& options)
    : options_(options), work_(context_.get_executor()),
      thread_([this] { context_.run(); }), fleet_(context_, with_crashing_part(options_)),
      traffic_(context_,
               {.nodes = caller_addresses(fleet_),
                .host = platform::standin_deployment().host,
                .model = platform::standin_deployment().model_service,
                .callers = options_.callers,
                .crashing_callers = options_.crashing_callers,
                .crashing_part = crashing_part,
                .revocations = static_cast<std::size_t>(options_.schedule.revocations),
                .seed = options_.schedule.seed}),
      crowd_(context_, {.nodes = caller_addresses(fleet_),
                        .host = platform::standin_deployment().host,
                        .path = platform::standin_deployment().safe,
                        .clients = options_.crowd,
                        .seed = options_.schedule.seed})
{
}

void soak_run::await_service()
{
    auto const ready = eventually(
        [this]
        {
            for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
                if (!fleet_.is_ready(node) ||
                    traffic_.send_once(node, soak_kind::stream).status != 200)
                    return false;
            return true;
        },
        startup_timeout);
    if (!ready)
        throw std::runtime_error("the fleet did not become ready; logs are in " +
                                 options_.fleet.folder.string());
}

soak_run::~soak_run()
{
    traffic_.stop();
    context_.stop();
    thread_.join();
}

std::vector<std::string> soak_run::run()
{
    await_service();
    traffic_.start();
    crowd_.start();
    auto const start = clock::now();
    for (auto const& fault : generate_schedule(options_.schedule))
        due_.emplace(start + fault.at, [this, fault] { inject(fault); });
    run_actions_until(start + options_.schedule.span + options_.schedule.max_duration);
    while (!due_.empty() || !stopping_.empty())
        run_actions_until(clock::now() + poll_interval);
    fleet_.clear_faults();
    check_recovery();
    check_memory();
    check_shutdown();

    evidence_.requests = traffic_.requests();
    evidence_.records = fleet_.records();
    for (auto& breach : check_promises(evidence_))
        breaches_.push_back(std::move(breach));
    for (auto& breach : check_limits(evidence_))
        breaches_.push_back(std::move(breach));
    for (auto& breach : check_crashing_part(evidence_))
        breaches_.push_back(std::move(breach));
    for (auto& breach : check_cuts(evidence_))
        breaches_.push_back(std::move(breach));
    if (options_.schedule.revocations > 0)
        for (auto& breach : check_keys(evidence_))
            breaches_.push_back(std::move(breach));
    return breaches_;
}

std::map<unsigned, std::size_t> soak_run::statuses() const
{
    std::map<unsigned, std::size_t> counts;
    for (auto const& request : traffic_.requests())
        ++counts[request.ended ? request.status : 0];
    return counts;
}

std::pair<std::size_t, std::size_t> soak_run::continued_streams() const
{
    std::pair<std::size_t, std::size_t> counts;
    for (auto const& request : traffic_.requests())
    {
        if (request.after_event == 0)
            continue;
        ++counts.first;
        counts.second += request.last_event > request.after_event || request.correct;
    }
    return counts;
}

void soak_run::schedule_after(std::chrono::milliseconds delay,
                              std::function<void()> action)
{
    due_.emplace(clock::now() + delay, std::move(action));
}

void soak_run::run_actions_until(clock::time_point end)
{
    while (clock::now() < end)
    {
        while (!due_.empty() && due_.begin()->first <= clock::now())
        {
            auto const action = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            action();
        }
        poll_stopping_nodes();
        restart_crashed_endpoints();
        sleep_poll_interval();
    }
}

void soak_run::inject(soak_fault const& fault)
{
    fmt::print("{} ms: {} {} for {} ms\n", fault.at.count(), to_string(fault.kind),
               fault.target, fault.duration.count());
    switch (fault.kind)
    {
    case fault_kind::link_delay:
    case fault_kind::link_reset:
    case fault_kind::link_silence:
    case fault_kind::link_cut_to_target:
    case fault_kind::link_cut_to_caller:
        return inject_link_fault(fault);
    case fault_kind::endpoint_pause:
    case fault_kind::endpoint_kill:
    case fault_kind::endpoint_drain:
        return inject_endpoint_fault(fault);
    case fault_kind::endpoint_limit:
        return inject_limit(fault);
    case fault_kind::node_cut_hang:
    case fault_kind::node_cut_reset:
    case fault_kind::node_cut_refuse:
        return inject_cut(fault);
    case fault_kind::large_change:
        return inject_large_change(fault);
    case fault_kind::store_restore:
        return inject_restore(fault);
    case fault_kind::key_revocation:
        return inject_revocation(fault);
    case fault_kind::node_pause:
    case fault_kind::node_kill:
    case fault_kind::node_stop:
    case fault_kind::node_reload:
        return inject_node_fault(fault);
    case fault_kind::store_pause:
    case fault_kind::configuration_change:
    case fault_kind::version_change:
        return inject_change(fault);
    }
}

void soak_run::inject_link_fault(soak_fault const& fault)
{
    auto const all = fleet_.links();
    auto* link = all[fault.target % all.size()];

    // Requests that a link to an endpoint holds back reach it together
    auto const first_endpoint = all.size() - fleet_.endpoints.size();
    if (fault.target % all.size() >= first_endpoint)
        for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
            note_disruption(
                node, fault.duration,
                fleet_.endpoint_name(fault.target % all.size() - first_endpoint));
    else
        note_store_fault(fault.target % all.size() / 2, fault.duration);
    if (fault.kind == fault_kind::link_reset)
        return link->reset();
    link->set_state(fault.kind == fault_kind::link_delay     ? link_state::delayed
                    : fault.kind == fault_kind::link_silence ? link_state::silent
                    : fault.kind == fault_kind::link_cut_to_target
                        ? link_state::cut_to_target
                        : link_state::cut_to_caller);
    schedule_after(fault.duration, [link] { link->set_state(link_state::open); });
}

void soak_run::inject_limit(soak_fault const& fault)
{
    auto const index = fault.target % fleet_.endpoints.size();
    fleet_.limit_endpoint(index, fault.rate);
    schedule_after(fault.duration,
                   [this, index] { fleet_.limit_endpoint(index, std::nullopt); });
}

void soak_run::inject_cut(soak_fault const& fault)
{
    // A node, or a whole zone
    auto const target = fault.target % (fleet_.nodes.size() + 2);
    auto const nodes = target < fleet_.nodes.size() ? std::vector<std::size_t>{target}
                                                    : fleet_.nodes_of_zone(target);
    auto const kind = fault.kind == fault_kind::node_cut_hang    ? cut_kind::hang
                      : fault.kind == fault_kind::node_cut_reset ? cut_kind::reset
                                                                 : cut_kind::refuse_new;
    auto const now = monotonic_ms();
    evidence_.cuts.push_back({.nodes = {nodes.begin(), nodes.end()},
                              .from_ms = now,
                              .to_ms = now + fault.duration.count()});
    for (auto const node : nodes)
        fleet_.cut_node(node, kind);
    schedule_after(fault.duration,
                   [this, nodes]
                   {
                       for (auto const node : nodes)
                           fleet_.cut_node(node, cut_kind::none);
                   });
}

void soak_run::inject_large_change(soak_fault const& fault)
{
    fleet_.store->signal(SIGCONT);
    fleet_.delay_store(slow_store_delay);
    schedule_after(slow_store_time,
                   [this]
                   {
                       fleet_.store->signal(SIGCONT);
                       fleet_.delay_store(0ms);
                   });
    inject_endpoint_fault({.kind = fault_kind::endpoint_drain, .target = fault.target});
    for (auto const delay : {0ms, std::chrono::milliseconds(second_change_delay)})
        schedule_after(delay,
                       [this, delay]
                       {
                           fleet_.store->signal(SIGCONT);
                           publish_checked(delay == 0ms ? options_.added_routes : 0);
                       });
}

void soak_run::publish_checked(std::size_t added_routes)
{
    auto const version = fleet_.publish_configuration(added_routes);
    schedule_after(configuration_timeout, [this, version, now = monotonic_ms()]
                   { check_configuration(version, now); });
}

void soak_run::inject_restore(soak_fault const& fault)
{
    fleet_.store->signal(SIGCONT);
    fleet_.copy_store();

    // Lost with all that happens until then
    fleet_.publish_configuration();
    schedule_after(fault.duration,
                   [this]
                   {
                       fleet_.store->signal(SIGSTOP);
                       for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
                           note_store_fault(node, store_away_time);
                   });
    schedule_after(fault.duration + store_away_time,
                   [this]
                   {
                       fleet_.store->signal(SIGCONT);
                       fleet_.restore_store();
                       fleet_.rewrite_operator_data();
                   });
    schedule_after(fault.duration + store_away_time + settled_delay,
                   [this, target = fault.target]
                   {
                       fleet_.store->signal(SIGCONT);
                       inject_endpoint_fault(
                           {.kind = fault_kind::endpoint_drain, .target = target});
                       publish_checked(1);
                   });
}

void soak_run::inject_revocation(soak_fault const& fault)
{
    auto const index = fault.target % fleet_.nodes.size();
    auto* link = fleet_.nodes[index].store.get();
    note_store_fault(index, fault.duration);
    link->set_state(link_state::silent);
    schedule_after(fault.duration, [link] { link->set_state(link_state::open); });
    inject_node_fault({.kind = fault_kind::node_pause,
                       .duration = options_.schedule.max_duration,
                       .target = fault.target + 1});
    fleet_.store->signal(SIGCONT);
    auto const organisation = fleet_.revoke_key();
    if (!organisation.empty())
        evidence_.revocations.push_back(
            {.organisation = organisation, .at_ms = monotonic_ms()});
}

void soak_run::check_configuration(std::uint64_t version, std::int64_t published_ms)
{
    auto const now = monotonic_ms();
    std::vector<std::size_t> late;
    for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
    {
        auto const slack = now - published_ms + contact_ms;
        if (!is_disrupted(store_faults_, node, {}, now, slack) &&
            !is_disrupted(evidence_, node, {}, now, slack) &&
            !fleet_.has_added_routes(node))
            late.push_back(node);
    }
    if (!late.empty())
        breaches_.push_back(
            fmt::format("configuration {} was not in force at nodes {} after {} ms",
                        version, fmt::join(late, ", "), now - published_ms));
}

void soak_run::note_store_fault(std::size_t node, std::chrono::milliseconds time)
{
    auto const now = monotonic_ms();
    store_faults_.disruptions.push_back(
        {.node = node, .endpoint = {}, .from_ms = now, .to_ms = now + time.count()});
}

void soak_run::note_disruption(std::size_t node, std::chrono::milliseconds time,
                               std::string const& endpoint)
{
    auto const now = monotonic_ms();
    evidence_.disruptions.push_back({.node = node,
                                     .endpoint = endpoint,
                                     .from_ms = now,
                                     .to_ms = now + time.count()});
}

void soak_run::inject_endpoint_fault(soak_fault const& fault)
{
    auto const index = fault.target % fleet_.endpoints.size();
    auto& process = fleet_.endpoints[index].process;
    if (!process->running())
        return;
    auto const generation = fleet_.endpoints[index].generation;

    // Skipped if another fault has replaced the process in the meantime
    auto const replace = [this, index, generation]
    {
        auto& endpoint = fleet_.endpoints[index];
        if (endpoint.generation != generation)
            return;
        endpoint.process->signal(SIGKILL);
        endpoint.process->wait(1s);
        schedule_after(restart_delay, [this, index] { fleet_.start_endpoint(index); });
        ++endpoint.generation;
    };
    if (fault.kind == fault_kind::endpoint_pause)
    {
        process->signal(SIGSTOP);
        for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
            note_disruption(node, fault.duration, fleet_.endpoint_name(index));
        schedule_after(fault.duration, [this, index]
                       { fleet_.endpoints[index].process->signal(SIGCONT); });
    }
    else if (fault.kind == fault_kind::endpoint_kill)
    {
        replace();
    }
    else
    {
        process->signal(SIGCONT);
        evidence_.leaves.push_back(
            {.endpoint = fleet_.endpoint_name(index), .at_ms = monotonic_ms()});
        fleet_.drain_endpoint(index);
        schedule_after(drain_time, replace);
    }
}

void soak_run::inject_node_fault(soak_fault const& fault)
{
    auto const index = fault.target % fleet_.nodes.size();
    auto& process = *fleet_.nodes[index].process;

    // Before `main` runs, any signal ends a process, which the program cannot prevent
    if (stopping_.contains(index) || !process.handles_or_blocks(SIGTERM))
        return;
    if (fault.kind != fault_kind::node_reload)
        note_disruption(index, fault.kind == fault_kind::node_pause ? fault.duration
                                                                    : shutdown_timeout);
    if (fault.kind == fault_kind::node_pause)
    {
        process.signal(SIGSTOP);
        schedule_after(fault.duration,
                       [this, index] { fleet_.nodes[index].process->signal(SIGCONT); });
    }
    else if (fault.kind == fault_kind::node_reload)
    {
        process.signal(SIGHUP);
    }
    else if (fault.kind == fault_kind::node_kill)
    {
        process.signal(SIGKILL);
        process.wait(1s);
        schedule_after(restart_delay, [this, index] { fleet_.start_node(index); });
    }
    else
    {
        process.signal(SIGCONT);
        process.signal(SIGTERM);
        stopping_.emplace(index, clock::now());
    }
}

void soak_run::inject_change(soak_fault const& fault)
{
    if (fault.kind == fault_kind::store_pause)
    {
        fleet_.store->signal(SIGSTOP);
        for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
            note_store_fault(node, fault.duration);
        schedule_after(fault.duration, [this] { fleet_.store->signal(SIGCONT); });
        return;
    }

    // The operator's write would block on a paused store, and a change only counts once
    // the store has accepted it
    fleet_.store->signal(SIGCONT);
    if (fault.kind == fault_kind::configuration_change)
    {
        fleet_.publish_configuration();
        return;
    }
    constexpr std::size_t popular_adapters = 4;
    auto const adapter = fmt::format("a{}", fault.target % popular_adapters);
    auto const version = fleet_.announce_version(adapter);
    evidence_.versions.push_back(
        {.adapter = adapter, .version = version, .at_ms = monotonic_ms()});
}

void soak_run::poll_stopping_nodes()
{
    for (auto each = stopping_.begin(); each != stopping_.end();)
    {
        auto const [index, stopped_at] = *each;
        auto const status = fleet_.nodes[index].process->wait(0ms);
        if (!status && clock::now() - stopped_at <= shutdown_timeout)
        {
            ++each;
            continue;
        }
        if (!status)
        {
            breaches_.push_back(
                fmt::format("node {} did not exit within its grace period", index));
            fleet_.nodes[index].process->signal(SIGKILL);
            fleet_.nodes[index].process->wait(1s);
        }
        else if (*status != 0)
        {
            breaches_.push_back(
                fmt::format("node {} exited with status {}", index, *status));
        }
        schedule_after(restart_delay, [this, index] { fleet_.start_node(index); });
        each = stopping_.erase(each);
    }
}

void soak_run::restart_crashed_endpoints()
{
    for (auto const index : fleet_.crashed_endpoints())
    {
        auto const generation = ++fleet_.endpoints[index].generation;
        schedule_after(crash_downtime,
                       [this, index, generation]
                       {
                           if (fleet_.endpoints[index].generation == generation)
                               fleet_.start_endpoint(index);
                       });
    }
}

void soak_run::check_recovery()
{
    for (auto const kind : {soak_kind::stream, soak_kind::safe, soak_kind::unsafe})
        for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
        {
            auto const served = eventually(
                [&] { return traffic_.send_once(node, kind).correct; }, recovery_timeout);
            if (!served)
                breaches_.push_back(fmt::format(
                    "node {} did not serve kind {} again in time after the faults", node,
                    static_cast<int>(kind)));
        }
}

void soak_run::check_memory()
{
    crowd_.stop();
    eventually([this] { return crowd_.running() == 0; }, 10s);
    for (std::size_t node = 0; options_.crowd > 0 && node < fleet_.nodes.size(); ++node)
    {
        auto const peak = fleet_.nodes[node].process->peak_memory_kb();
        fmt::print("memory of node {}: {} KB\n", node, peak);
        if (peak >= most_memory_kb)
            breaches_.push_back(
                fmt::format("node {} had {} KB under a crowd of clients", node, peak));
    }
}

void soak_run::check_shutdown()
{
    evidence_.shutdown_ms = monotonic_ms();
    std::vector<std::int64_t> stopped_ms;
    for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
    {
        stopped_ms.push_back(monotonic_ms());
        fleet_.nodes[node].process->signal(SIGTERM);
        auto const status = fleet_.nodes[node].process->wait(shutdown_timeout);
        if (!status || *status != 0)
            breaches_.push_back(
                fmt::format("node {} exited with status {} at the final shutdown", node,
                            status.value_or(-1)));
    }
    traffic_.stop();
    eventually([this] { return traffic_.running() == 0; }, 10s);
    check_clean_stop(stopped_ms);
}

void soak_run::check_clean_stop(std::vector<std::int64_t> const& stopped_ms)
{
    for (auto const& request : traffic_.requests())
    {
        auto const stopped = stopped_ms[request.node];
        if (request.sent_ms < stopped && request.ended_ms > stopped && !request.ended)
            breaches_.push_back(
                fmt::format("{} was interrupted by the shutdown of node {}",
                            request.attempt, request.node));
    }
}

} // namespace marjorampath::test
