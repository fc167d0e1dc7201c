#include <programs/marjorampath-bench/policy_scenarios.hpp>

#include <chrono>

namespace marjorampath::bench
{

namespace
{

using namespace std::chrono_literals;

scenario ennstal(std::string const& name)
{
    return {.name = "ennstal-" + name,
            .profile = "ennstal",
            .engines = 9,
            .loads_per_second = 2,
            .rate = 6,
            .mean_tokens = 64,
            .time_limit = 10s,
            .team_fractions = {0.5, 0.5}};
}

scenario trazalgodon(std::string const& name)
{
    return {.name = "traz-" + name,
            .profile = "trazalgodon",
            .engines = 12,
            .loads_per_second = 3,
            .rate = 10,
            .mean_tokens = 300,
            .time_limit = 90s,
            .team_fractions = {0.4, 0.3, 0.2, 0.1}};
}

template <class MakeScenario>
void add_customer(std::vector<scenario>& all, MakeScenario const& make_scenario)
{
    all.push_back(make_scenario("steady"));
    auto busy = make_scenario("busy");
    busy.rate *= 1.3;
    all.push_back(busy);
    auto calm = make_scenario("calm");
    calm.rate *= 0.4;
    calm.length = 1h;
    all.push_back(calm);
    auto large = make_scenario("10000");
    large.adapters = 10'000;
    all.push_back(large);
    auto shift = make_scenario("shift");
    shift.change = popularity_change::shift;
    all.push_back(shift);
    auto waking = make_scenario("waking");
    waking.change = popularity_change::waking;
    waking.length = 1h;
    all.push_back(waking);
    auto burst = make_scenario("burst");
    burst.change = popularity_change::burst;
    all.push_back(burst);
    auto faults = make_scenario("faults");
    faults.mean_restart_interval = 30min;
    faults.load_failure_probability = 0.05;
    all.push_back(faults);
    auto restart = make_scenario("restart-all");
    restart.restart_all = true;
    all.push_back(restart);

    // Month-end: 0.8, 1 and 2 times the load that the engines can serve, with most of it
    // from one team. Popularity is steeper, so that the engines and not the store are the
    // limit. An engine runs 16 requests at once, with steps of 30 ms.
    auto const capacity =
        make_scenario("").engines * 16 / 0.030 / make_scenario("").mean_tokens;
    for (auto const factor : {0.8, 1.0, 2.0})
    {
        auto overload = make_scenario("load-" + std::to_string(factor).substr(0, 3));
        overload.zipf = 1.6;
        overload.rate = capacity * factor;
        overload.team_fractions = {0.7, 0.1, 0.1, 0.1};
        overload.length = 5min;
        all.push_back(overload);
    }
}

} // namespace

std::vector<scenario> all_scenarios()
{
    std::vector<scenario> all;
    add_customer(all, ennstal);
    add_customer(all, trazalgodon);
    return all;
}

scenario scaled_scenario(std::uint32_t engines)
{
    auto scaled = ennstal("scale-" + std::to_string(engines));
    auto const factor = engines / 9.0;
    scaled.engines = engines;
    scaled.rate *= factor;
    scaled.loads_per_second *= factor;
    scaled.adapters = 10'000;
    scaled.length = duration(static_cast<std::int64_t>(900e9 / factor)) + 60s;
    return scaled;
}

} // namespace marjorampath::bench
