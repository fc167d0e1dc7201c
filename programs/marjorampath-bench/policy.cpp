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
duration run(world& where, Policy& policy)
{
    // Busy time counts from the start to the end of what is measured
    where.schedule(time_point(where.made.measured_from), event_kind::measure, 0);
    where.schedule(time_point(where.made.end), event_kind::measure, 1);
    experiment<Policy>(where, policy).run();
    return where.busy;
}

policy_result run_cell(scenario const& chosen, trace const& made, std::uint64_t seed,
                       double stall_weight, double half_life)
{
    world where(chosen, made, seed);
    auto options = *find_profile(chosen.profile);
    options.loads_per_second = chosen.loads_per_second;
    if (half_life > 0)
        options.demand_half_life = half_life;
    if (stall_weight >= 0)
        options.stall_weight = stall_weight;
    options.loads_in_transit = std::max(8U, chosen.engines * 8 / 9);
    cell_policy policy(options, where);
    auto const busy = run(where, policy);
    return measure(where, "cell", busy, policy.costs);
}

void run_scenario(scenario const& chosen, std::uint64_t seed, double stall_weight,
                  double half_life, std::vector<policy_result>& rows)
{
    auto const made = make_trace(chosen, seed);
    for (auto const& [name, routing] : baselines)
    {
        world where(chosen, made, seed);
        baseline_policy policy(routing, chosen.engines);
        auto const busy = run(where, policy);
        rows.push_back(measure(where, name, busy, {}));
    }
    rows.push_back(run_cell(chosen, made, seed, stall_weight, half_life));
    rows.push_back(measure(chosen, made, run_clairvoyant(chosen, made)));
}

} // namespace

int run_policy(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine line(
        "The placement and load policy in virtual time, beside baselines");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the traces", false, 1, "N",
                                        line);
    TCLAP::ValueArg<std::string> out("", "out", "folder for policy.csv and policy.svg",
                                     false, "", "DIR", line);
    TCLAP::ValueArg<std::string> only("", "scenario", "only scenarios that contain this",
                                      false, "", "TEXT", line);
    TCLAP::ValueArg<double> weight("", "stall-weight", "in place of the profile's", false,
                                   -1, "0..1", line);
    TCLAP::ValueArg<double> half_life("", "half-life", "of the demand estimate", false, 0,
                                      "REQUESTS", line);
    TCLAP::SwitchArg scale("", "scale", "decision cost by number of engines", line);
    line.parse(arguments);

    fmt::print("seed {}\n", seed.getValue());
    std::vector<policy_result> rows;
    if (scale.getValue())
    {
        for (auto const engines : {9U, 36U, 144U, 576U, 2'600U})
        {
            auto const chosen = scaled_scenario(engines);
            auto const made = make_trace(chosen, seed.getValue());
            rows.push_back(run_cell(chosen, made, seed.getValue(), weight.getValue(),
                                    half_life.getValue()));
        }
    }
    else
    {
        for (auto const& chosen : all_scenarios())
            if (chosen.name.find(only.getValue()) != std::string::npos)
                run_scenario(chosen, seed.getValue(), weight.getValue(),
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
