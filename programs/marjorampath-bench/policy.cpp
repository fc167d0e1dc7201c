#include <programs/marjorampath-bench/policy_baseline.hpp>
#include <programs/marjorampath-bench/policy_cell.hpp>
#include <programs/marjorampath-bench/policy_experiment.hpp>
#include <programs/marjorampath-bench/policy_report.hpp>
#include <programs/marjorampath-bench/policy_scenarios.hpp>
#include <programs/marjorampath-bench/subcommand.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <array>
#include <cstdio>
#include <utility>

namespace marjorampath::bench
{

namespace
{

constexpr std::array baselines{std::pair{"round-robin", routing::round_robin},
                               std::pair{"least-loaded", routing::least_loaded},
                               std::pair{"rendezvous", routing::rendezvous}};

template <placement_policy Policy>
duration run(world& simulation, Policy& policy)
{
    // The busy time is measured from the end of the warm-up to the end of the arrivals
    simulation.schedule(time_point(simulation.workload.measured_from),
                        event_kind::measure, 0);
    simulation.schedule(time_point(simulation.workload.end), event_kind::measure, 1);
    experiment<Policy>(simulation, policy).run();
    return simulation.busy;
}

policy_result run_cell(scenario const& setup, trace const& workload, std::uint64_t seed,
                       double stall_weight, double half_life)
{
    world simulation(setup, workload, seed);
    auto options = *find_profile(setup.profile);
    options.loads_per_second = setup.loads_per_second;
    if (half_life > 0)
        options.demand_half_life = half_life;
    if (stall_weight >= 0)
        options.stall_weight = stall_weight;
    options.loads_in_transit = std::max(8U, setup.engines * 8 / 9);
    cell_policy policy(options, simulation);
    auto const busy = run(simulation, policy);
    return compute_result(simulation, "cell", busy, policy.costs);
}

void run_scenario(scenario const& setup, std::uint64_t seed, double stall_weight,
                  double half_life, std::vector<policy_result>& rows)
{
    auto const workload = make_trace(setup, seed);
    for (auto const& [name, routing] : baselines)
    {
        world simulation(setup, workload, seed);
        baseline_policy policy(routing, setup.engines);
        auto const busy = run(simulation, policy);
        rows.push_back(compute_result(simulation, name, busy, {}));
    }
    rows.push_back(run_cell(setup, workload, seed, stall_weight, half_life));
    rows.push_back(compute_result(setup, workload, run_clairvoyant(setup, workload)));
}

} // namespace

int run_policy(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine line(
        "The placement and load policy compared with baselines, in virtual time");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the generated traces", false,
                                        1, "N", line);
    TCLAP::ValueArg<std::string> out("", "out", "folder for policy.csv and policy.svg",
                                     false, "", "DIR", line);
    TCLAP::ValueArg<std::string> only("", "scenario",
                                      "run only scenarios whose name contains this",
                                      false, "", "TEXT", line);
    TCLAP::ValueArg<double> weight("", "stall-weight",
                                   "stall weight that replaces the one of the profile",
                                   false, -1, "0..1", line);
    TCLAP::ValueArg<double> half_life("", "half-life",
                                      "halving period of the demand estimate", false, 0,
                                      "REQUESTS", line);
    TCLAP::SwitchArg scale(
        "", "scale", "measure the decision cost for several numbers of engines", line);
    line.parse(arguments);

    fmt::print("seed {}\n", seed.getValue());
    std::vector<policy_result> rows;
    if (scale.getValue())
    {
        for (auto const engines : {9U, 36U, 144U, 576U, 2'600U})
        {
            auto const setup = scaled_scenario(engines);
            auto const workload = make_trace(setup, seed.getValue());
            rows.push_back(run_cell(setup, workload, seed.getValue(), weight.getValue(),
                                    half_life.getValue()));
        }
    }
    else
    {
        for (auto const& setup : all_scenarios())
            if (setup.name.find(only.getValue()) != std::string::npos)
                run_scenario(setup, seed.getValue(), weight.getValue(),
                             half_life.getValue(), rows);
    }
    print_table(rows);
    if (out.getValue().empty())
        return 0;
    write_csv(rows, out.getValue());
    write_svg(rows, out.getValue());
    return 0;
}

} // namespace marjorampath::bench
