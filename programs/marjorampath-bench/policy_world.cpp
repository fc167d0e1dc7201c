#include <programs/marjorampath-bench/policy_world.hpp>

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <stdexcept>

namespace marjorampath::bench
{

namespace
{

// Time that an engine takes to unload an adapter
constexpr duration unload_time = std::chrono::milliseconds(2);

void require(bool condition, char const* text)
{
    if (!condition)
        throw std::logic_error(text);
}

} // namespace

world::world(scenario const& scenario, trace const& trace, std::uint64_t seed)
    : setup(scenario), workload(trace), engines(scenario.engines),
      boots(scenario.engines, 1), store(scenario.loads_per_second),
      records(trace.requests.size()), random_(seed)
{
    for (std::size_t index = 0; index < trace.requests.size(); ++index)
        schedule(time_point(trace.requests[index].at), event_kind::arrival,
                 static_cast<std::uint32_t>(index));
    for (auto const& restart : trace.restarts)
        schedule(time_point(restart.at), event_kind::restart, 0, restart.engine);
}

void world::schedule(time_point at, event_kind kind, std::uint32_t subject,
                     std::uint32_t engine, std::uint64_t generation)
{
    events_.push({at, next_sequence_++, kind, subject, engine, generation});
}

std::optional<event> world::next()
{
    if (events_.empty())
        return std::nullopt;
    auto const first = events_.top();
    events_.pop();
    now = first.at;
    return first;
}

bool world::is_measured() const
{
    return now >= time_point(workload.measured_from) && now <= time_point(workload.end);
}

bool world::draw_load_failure()
{
    boost::random::uniform_real_distribution<double> uniform(0, 1);
    return uniform(random_) < workload.load_failure_probability;
}

bool world::is_resident(std::uint32_t adapter) const
{
    return std::any_of(engines.begin(), engines.end(),
                       [&](fake_engine const& engine)
                       { return engine.resident.contains(adapter); });
}

void world::schedule_next_finish(std::uint32_t engine)
{
    if (auto const when = engines[engine].next_finish(now))
        schedule(*when, event_kind::finish, 0, engine, engines[engine].generation);
}

void world::start(std::uint32_t request, std::uint32_t engine)
{
    auto& record = records[request];
    auto const& details = workload.requests[request];
    auto& target = engines[engine];
    auto const held = target.resident.find(details.adapter);
    require(record.state == request_state::waiting,
            "a request is started that is not waiting");
    require(held != target.resident.end(), "the engine does not hold the adapter");
    require(target.running() < setup.concurrency, "the engine is full");
    record.state = request_state::running;
    record.engine = engine;

    // The request waited for its adapter from its arrival until the load finished
    auto const arrived = time_point(details.at);
    record.stall =
        std::max({record.stall, held->second.loaded_at - arrived, duration(0)});
    target.advance(now);
    target.start(request, details, now);
    schedule_next_finish(engine);
}

void world::refuse(std::uint32_t request)
{
    auto& record = records[request];
    auto const& details = workload.requests[request];
    require(record.state == request_state::waiting,
            "a request is refused that is not waiting");
    record.state = request_state::not_run;

    // No engine holds the adapter, so the whole time was spent waiting for it
    if (!is_resident(details.adapter))
        record.stall = details.time_limit;
}

void world::cut(std::uint32_t request)
{
    auto& record = records[request];
    record.state = request_state::cut;
    engines[record.engine].stop(request, now);
    schedule_next_finish(record.engine);
}

void world::load(std::uint32_t engine, std::uint32_t adapter)
{
    if (is_measured())
        ++loads;
    schedule(store.reserve_start(now), event_kind::load_start, adapter, engine,
             boots[engine]);
}

void world::unload(std::uint32_t engine, std::uint32_t adapter)
{
    if (is_measured())
        ++unloads;
    require(engines[engine].resident.erase(adapter) == 1,
            "an adapter is unloaded that the engine does not hold");
    schedule(now + unload_time, event_kind::unload_end, adapter, engine, boots[engine]);
}

void world::wake_at(time_point when)
{
    schedule(std::max(when, now), event_kind::wake);
}

} // namespace marjorampath::bench
