#include <programs/marjorampath-bench/policy_cell.hpp>

#include <chrono>
#include <variant>

namespace marjorampath::bench
{

namespace
{

// Kind of all engines
constexpr endpoint_kind_id engine_kind(1);

// Numbers start at one, since zero means none
std::uint32_t number_of(std::uint64_t id)
{
    return static_cast<std::uint32_t>(id) - 1;
}

} // namespace

cell_policy::cell_policy(cell_options options, world& where) : cell_(options)
{
    for (std::uint32_t engine = 0; engine < where.chosen.engines; ++engine)
        report(where, engine);
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
void cell_policy::decide(Call const& call)
{
    auto const before = std::chrono::steady_clock::now();
    call();
    auto const after = std::chrono::steady_clock::now();
    auto const took =
        std::chrono::duration_cast<std::chrono::nanoseconds>(after - before);
    costs.push_back(static_cast<std::uint32_t>(took.count()));
}

void cell_policy::report(world& where, std::uint32_t engine)
{
    decide(
        [&]
        {
            cell_.on_endpoint({.endpoint = id_of_engine(engine),
                               .kind = engine_kind,
                               .zone = zone_id(1),
                               .boot_number = where.boots[engine],
                               .adapter_slots = where.chosen.slots,
                               .concurrency = where.chosen.concurrency,
                               .resident = {}},
                              where.now, actions_);
        });
    carry_out(where);
}

void cell_policy::on_arrival(world& where, std::uint32_t request)
{
    auto const& asked = where.made.requests[request];
    grant_request question;
    question.request = id_of(request, where.records[request].attempt);
    question.team = team_id(std::uint64_t{asked.team} + 1);
    question.endpoints = engine_kind;
    question.adapter = id_of_adapter(asked.adapter);
    question.prefix = asked.prefix;
    question.attempt = where.records[request].attempt;
    question.deadline = time_point(asked.at) + asked.time_limit;
    question.prompt_tokens = asked.prompt_tokens;
    question.max_tokens = asked.max_tokens;
    decide([&] { cell_.on_request(question, where.now, actions_); });
    carry_out(where);
}

void cell_policy::on_end(world& where, std::uint32_t request, std::uint32_t engine,
                         bool finished)
{
    auto const& asked = where.made.requests[request];
    auto const& record = where.records[request];
    auto const lost = record.state == request_state::waiting;
    release_report report;
    report.request = id_of(request, record.attempt);
    report.endpoint = id_of_engine(engine);
    report.tokens = asked.tokens;
    report.reason = finished ? release_reason::finished : release_reason::cancelled;
    if (lost)
        report.reason = release_reason::endpoint_lost;
    decide([&] { cell_.on_release(report, where.now, actions_); });
    carry_out(where);
}

void cell_policy::on_loaded(world& where, std::uint32_t engine, std::uint32_t adapter,
                            bool ok)
{
    decide(
        [&]
        {
            cell_.on_load_finished(id_of_engine(engine), id_of_adapter(adapter),
                                   ok ? error_kind::none : error_kind::load_failed,
                                   where.now, actions_);
        });
    carry_out(where);
}

void cell_policy::on_unloaded(world& where, std::uint32_t engine, std::uint32_t adapter)
{
    decide(
        [&]
        {
            cell_.on_unload_finished(id_of_engine(engine), id_of_adapter(adapter),
                                     error_kind::none, where.now, actions_);
        });
    carry_out(where);
}

void cell_policy::on_restart(world& where, std::uint32_t engine)
{
    report(where, engine);
}

void cell_policy::on_deadline(world& where, std::uint32_t request)
{
    // The entry host ends the wait at the deadline, whatever the owner does
    decide(
        [&]
        {
            cell_.on_cancel(id_of(request, where.records[request].attempt), where.now,
                            actions_);
        });
    where.refuse(request);
    carry_out(where);
}

void cell_policy::on_wake(world& where)
{
    if (!wakeup_ || *wakeup_ > where.now)
        return;
    wakeup_.reset();
    decide([&] { cell_.on_tick(where.now, actions_); });
    carry_out(where);
}

void cell_policy::carry_out(world& where)
{
    for (auto const& action : actions_)
    {
        if (auto const* const granted = std::get_if<grant_action>(&action))
            where.start(number_of(granted->request.number()),
                        number_of(granted->endpoint.number()));
        else if (auto const* const refused = std::get_if<refuse_action>(&action))
            where.refuse(number_of(refused->request.number()));
        else if (auto const* const load = std::get_if<load_action>(&action))
            where.load(number_of(load->endpoint.number()),
                       number_of(load->adapter.number()));
        else if (auto const* const unload = std::get_if<unload_action>(&action))
            where.unload(number_of(unload->endpoint.number()),
                         number_of(unload->adapter.number()));
    }
    actions_.clear();
    auto const next = cell_.next_wakeup();
    if (next && (!wakeup_ || *next < *wakeup_))
    {
        wakeup_ = *next;
        where.wake_at(*next);
    }
}

} // namespace marjorampath::bench
