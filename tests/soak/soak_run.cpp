#include <tests/soak/monotonic_time.hpp>
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

// Time for the fleet to become ready: leases and the first loads
constexpr auto start_time = 20s;
// Time from the last fault to a service as usual (`recoverS`)
constexpr auto recover_time = 15s;
// Grace period of a node (`graceS`), and what the machine may add to it
constexpr auto grace = 8s + 500ms;
// Pause before a process takes the place of another one
constexpr auto replace_pause = 300ms;
// Time between the announcement that an endpoint leaves and its end
constexpr auto drain_time = 5s;
// Time between two looks at what is due
constexpr auto look_period = 10ms;

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
      thread_([this] { context_.run(); }), fleet_(context_, options_.fleet),
      traffic_(context_, {.nodes = caller_addresses(fleet_),
                          .host = platform::standin_deployment().host,
                          .model = platform::standin_deployment().model_service,
                          .callers = options_.callers,
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
        start_time);
    if (!ready)
        throw std::runtime_error("the fleet does not serve; logs are in " +
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
    auto const begun = clock::now();
    for (auto const& fault : generate_schedule(options_.schedule))
        due_.emplace(begun + fault.at, [this, fault] { begin(fault); });
    work_until(begun + options_.schedule.span + options_.schedule.longest);
    while (!due_.empty() || !stopping_.empty())
        work_until(clock::now() + look_period);
    fleet_.heal();
    check_recovery();
    check_shutdown();

    evidence_.requests = traffic_.requests();
    evidence_.records = fleet_.records();
    for (auto& breach : check_promises(evidence_))
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

void soak_run::later(std::chrono::milliseconds delay, std::function<void()> act)
{
    due_.emplace(clock::now() + delay, std::move(act));
}

void soak_run::work_until(clock::time_point end)
{
    while (clock::now() < end)
    {
        while (!due_.empty() && due_.begin()->first <= clock::now())
        {
            auto const act = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            act();
        }
        watch_stopping();
        sleep_poll_interval();
    }
}

void soak_run::begin(soak_fault const& fault)
{
    fmt::print("{} ms: {} {} for {} ms\n", fault.at.count(), to_string(fault.kind),
               fault.target, fault.length.count());
    switch (fault.kind)
    {
    case fault_kind::link_delay:
    case fault_kind::link_reset:
    case fault_kind::link_silence:
    case fault_kind::link_cut_to_target:
    case fault_kind::link_cut_to_caller:
        return begin_link(fault);
    case fault_kind::endpoint_pause:
    case fault_kind::endpoint_kill:
    case fault_kind::endpoint_drain:
        return begin_endpoint(fault);
    case fault_kind::node_pause:
    case fault_kind::node_kill:
    case fault_kind::node_stop:
    case fault_kind::node_reload:
        return begin_node(fault);
    case fault_kind::store_pause:
    case fault_kind::configuration_change:
    case fault_kind::version_change:
        return begin_change(fault);
    }
}

void soak_run::begin_link(soak_fault const& fault)
{
    auto const all = fleet_.links();
    auto* link = all[fault.target % all.size()];
    if (fault.kind == fault_kind::link_reset)
        return link->reset();
    link->set_state(fault.kind == fault_kind::link_delay     ? link_state::delayed
                    : fault.kind == fault_kind::link_silence ? link_state::silent
                    : fault.kind == fault_kind::link_cut_to_target
                        ? link_state::cut_to_target
                        : link_state::cut_to_caller);
    later(fault.length, [link] { link->set_state(link_state::open); });
}

void soak_run::begin_endpoint(soak_fault const& fault)
{
    auto const index = fault.target % fleet_.endpoints.size();
    auto& process = fleet_.endpoints[index].process;
    if (!process->running())
        return;
    auto const generation = fleet_.endpoints[index].started;

    // A fault of the same endpoint may have replaced the process since
    auto const replace = [this, index, generation]
    {
        auto& place = fleet_.endpoints[index];
        if (place.started != generation)
            return;
        place.process->signal(SIGKILL);
        place.process->wait(1s);
        later(replace_pause, [this, index] { fleet_.start_endpoint(index); });
        ++place.started;
    };
    if (fault.kind == fault_kind::endpoint_pause)
    {
        process->signal(SIGSTOP);
        later(fault.length,
              [this, index] { fleet_.endpoints[index].process->signal(SIGCONT); });
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
        later(drain_time, replace);
    }
}

void soak_run::begin_node(soak_fault const& fault)
{
    auto const index = fault.target % fleet_.nodes.size();
    auto& process = *fleet_.nodes[index].process;

    // Before `main` runs any signal ends a process, and nothing can be done about it
    if (stopping_.contains(index) || !process.handles_or_blocks(SIGTERM))
        return;
    if (fault.kind == fault_kind::node_pause)
    {
        process.signal(SIGSTOP);
        later(fault.length,
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
        later(replace_pause, [this, index] { fleet_.start_node(index); });
    }
    else
    {
        process.signal(SIGCONT);
        process.signal(SIGTERM);
        stopping_.emplace(index, clock::now());
    }
}

void soak_run::begin_change(soak_fault const& fault)
{
    if (fault.kind == fault_kind::store_pause)
    {
        fleet_.store->signal(SIGSTOP);
        later(fault.length, [this] { fleet_.store->signal(SIGCONT); });
        return;
    }

    // The operator's write waits where the store stands still; the store's word counts
    fleet_.store->signal(SIGCONT);
    if (fault.kind == fault_kind::configuration_change)
        return fleet_.publish_configuration();
    constexpr std::size_t popular = 4;
    auto const adapter = fmt::format("a{}", fault.target % popular);
    auto const version = fleet_.announce_version(adapter);
    evidence_.versions.push_back(
        {.adapter = adapter, .version = version, .at_ms = monotonic_ms()});
}

void soak_run::watch_stopping()
{
    for (auto each = stopping_.begin(); each != stopping_.end();)
    {
        auto const [index, since] = *each;
        auto const status = fleet_.nodes[index].process->wait(0ms);
        if (!status && clock::now() - since <= grace)
        {
            ++each;
            continue;
        }
        if (!status)
        {
            breaches_.push_back(
                fmt::format("node {} did not end within its grace period", index));
            fleet_.nodes[index].process->signal(SIGKILL);
            fleet_.nodes[index].process->wait(1s);
        }
        else if (*status != 0)
        {
            breaches_.push_back(
                fmt::format("node {} ended with status {}", index, *status));
        }
        later(replace_pause, [this, index] { fleet_.start_node(index); });
        each = stopping_.erase(each);
    }
}

void soak_run::check_recovery()
{
    for (auto const kind : {soak_kind::stream, soak_kind::safe, soak_kind::unsafe})
        for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
        {
            auto const served = eventually(
                [&] { return traffic_.send_once(node, kind).right; }, recover_time);
            if (!served)
                breaches_.push_back(
                    fmt::format("node {} does not serve kind {} in time after all faults",
                                node, static_cast<int>(kind)));
        }
}

void soak_run::check_shutdown()
{
    std::vector<std::int64_t> stopped_ms;
    for (std::size_t node = 0; node < fleet_.nodes.size(); ++node)
    {
        stopped_ms.push_back(monotonic_ms());
        fleet_.nodes[node].process->signal(SIGTERM);
        auto const status = fleet_.nodes[node].process->wait(grace);
        if (!status || *status != 0)
            breaches_.push_back(fmt::format("node {} ended with status {} at the end",
                                            node, status.value_or(-1)));
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
            breaches_.push_back(fmt::format("{} was cut by the stop of node {}",
                                            request.attempt, request.node));
    }
}

} // namespace marjorampath::test
