#include <programs/marjorampath-bench/policy_cell.hpp>

#include <chrono>
#include <variant>

namespace marjorampath::bench
{

namespace
{

// Endpoint kind of all engines
constexpr endpoint_kind_id engine_kind(1);

// Identifiers start at one, since zero means none
std::uint32_t number_of(std::uint64_t id)
{
    return static_cast<std::uint32_t>(id) - 1;
}

} // namespace

cell_policy::cell_policy(cell_options options, world& simulation) : cell_(options)
{
    for (std::uint32_t engine = 0; engine < simulation.setup.engines; ++engine)
        report_engine(simulation, engine);
}

request_id cell_policy::id_of(std::uint32_t request, std::uint32_t attempt)
{
    return request_id((std::uint64_t{attempt} << 32U) + request + 1);
}

endpoint_id cell_policy::id_of_engine(std::uint32_t engine)
{
    return endpoint_id(std::uint64_t{engine} + 1);
}

adapter_version_id cell_policy::id_of_adapter(std::uint32_t adapter)
{
    return adapter_version_id(std::uint64_t{adapter} + 1);
}

template <class Call>
void cell_policy::measure_call(Call const& call)
{
    auto const start = std::chrono::steady_clock::now();
    call();
    auto const end = std::chrono::steady_clock::now();
    auto const elapsed =
        std::chrono::duration_cast<std::chrono::nanoseconds>(end - start);
    costs.push_back(static_cast<std::uint32_t>(elapsed.count()));
}

void cell_policy::report_engine(world& simulation, std::uint32_t engine)
{
    measure_call(
        [&]
        {
            cell_.on_endpoint({.endpoint = id_of_engine(engine),
                               .kind = engine_kind,
                               .zone = zone_id(1),
                               .boot_number = simulation.boots[engine],
                               .adapter_slots = simulation.setup.slots,
                               .concurrency = simulation.setup.concurrency,
                               .resident = {}},
                              simulation.now, actions_);
        });
    carry_out(simulation);
}

void cell_policy::on_arrival(world& simulation, std::uint32_t request)
{
    auto const& details = simulation.workload.requests[request];
    grant_request message;
    message.request = id_of(request, simulation.records[request].attempt);
    message.team = team_id(std::uint64_t{details.team} + 1);
    message.endpoints = engine_kind;
    message.adapter = id_of_adapter(details.adapter);
    message.prefix = details.prefix;
    message.attempt = simulation.records[request].attempt;
    message.deadline = time_point(details.at) + details.time_limit;
    message.prompt_tokens = details.prompt_tokens;
    message.max_tokens = details.max_tokens;
    measure_call([&] { cell_.on_request(message, simulation.now, actions_); });
    carry_out(simulation);
}

void cell_policy::on_end(world& simulation, std::uint32_t request, std::uint32_t engine,
                         bool finished)
{
    auto const& details = simulation.workload.requests[request];
    auto const& record = simulation.records[request];
    auto const endpoint_restarted = record.state == request_state::waiting;
    release_report report;
    report.request = id_of(request, record.attempt);
    report.endpoint = id_of_engine(engine);
    report.tokens = details.tokens;
    report.reason = finished ? release_reason::finished : release_reason::cancelled;
    if (endpoint_restarted)
        report.reason = release_reason::endpoint_lost;
    measure_call([&] { cell_.on_release(report, simulation.now, actions_); });
    carry_out(simulation);
}

void cell_policy::on_loaded(world& simulation, std::uint32_t engine,
                            std::uint32_t adapter, bool ok)
{
    measure_call(
        [&]
        {
            cell_.on_load_finished(id_of_engine(engine), id_of_adapter(adapter),
                                   ok ? error_kind::none : error_kind::load_failed,
                                   simulation.now, actions_);
        });
    carry_out(simulation);
}

void cell_policy::on_unloaded(world& simulation, std::uint32_t engine,
                              std::uint32_t adapter)
{
    measure_call(
        [&]
        {
            cell_.on_unload_finished(id_of_engine(engine), id_of_adapter(adapter),
                                     error_kind::none, simulation.now, actions_);
        });
    carry_out(simulation);
}

void cell_policy::on_restart(world& simulation, std::uint32_t engine)
{
    report_engine(simulation, engine);
}

void cell_policy::on_deadline(world& simulation, std::uint32_t request)
{
    // The entry host stops waiting at the deadline, whatever the owner of the cell
    // decides
    measure_call(
        [&]
        {
            cell_.on_cancel(id_of(request, simulation.records[request].attempt),
                            simulation.now, actions_);
        });
    simulation.refuse(request);
    carry_out(simulation);
}

void cell_policy::on_wake(world& simulation)
{
    if (!wakeup_ || *wakeup_ > simulation.now)
        return;
    wakeup_.reset();
    measure_call([&] { cell_.on_tick(simulation.now, actions_); });
    carry_out(simulation);
}

void cell_policy::carry_out(world& simulation)
{
    for (auto const& action : actions_)
    {
        if (auto const* const grant = std::get_if<grant_action>(&action))
            simulation.start(number_of(grant->request.number()),
                             number_of(grant->endpoint.number()));
        else if (auto const* const refusal = std::get_if<refuse_action>(&action))
            simulation.refuse(number_of(refusal->request.number()));
        else if (auto const* const load = std::get_if<load_action>(&action))
            simulation.load(number_of(load->endpoint.number()),
                            number_of(load->adapter.number()));
        else if (auto const* const unload = std::get_if<unload_action>(&action))
            simulation.unload(number_of(unload->endpoint.number()),
                              number_of(unload->adapter.number()));
    }
    actions_.clear();
    auto const next = cell_.next_wakeup();
    if (next && (!wakeup_ || *next < *wakeup_))
    {
        wakeup_ = *next;
        simulation.wake_at(*next);
    }
}

} // namespace marjorampath::bench
