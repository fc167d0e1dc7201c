#include <tests/soak/soak_run.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <unistd.h>

using namespace marjorampath::test;

namespace
{

// Runs one seed; returns whether all promises were kept
bool run_seed(soak_options options, bool keep)
{
    auto const seed = options.schedule.seed;
    options.fleet.folder = std::filesystem::temp_directory_path() /
                           fmt::format("marjorampath-soak-{}-{}", ::getpid(), seed);
    std::vector<std::string> breaches;
    try
    {
        soak_run soak(options);
        breaches = soak.run();
        for (auto const& [status, count] : soak.statuses())
            fmt::print("answers with status {}: {}\n", status, count);
        auto const [continued, went_on] = soak.continued_streams();
        fmt::print("streams continued by callers: {}, of which {} went on\n", continued,
                   went_on);
    }
    catch (std::exception const& error)
    {
        breaches.emplace_back(error.what());
    }
    for (auto const& breach : breaches)
        fmt::print("seed {}: {}\n", seed, breach);
    fmt::print("seed {}: {}\n", seed,
               breaches.empty() ? "promises kept" : "promises BROKEN");
    std::fflush(stdout);
    if (breaches.empty() && !keep)
        std::filesystem::remove_all(options.fleet.folder);
    else
        fmt::print("logs and records: {}\n", options.fleet.folder.string());
    return breaches.empty();
}

} // namespace

/// Injects random faults into entry nodes and stand-ins, each in a process of its own.
int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Fault soak of the entry node", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint32_t> seed("", "seed", "First seed", false, 1, "number",
                                        command);
    TCLAP::ValueArg<std::uint32_t> count("", "count", "Number of seeds", false, 1,
                                         "number", command);
    TCLAP::ValueArg<int> seconds("", "seconds", "Time over which faults begin", false, 10,
                                 "seconds", command);
    TCLAP::ValueArg<std::size_t> nodes("", "nodes", "Entry nodes", false, 5, "number",
                                       command);
    TCLAP::ValueArg<std::size_t> engines("", "engines", "Engines", false, 4, "number",
                                         command);
    TCLAP::ValueArg<std::size_t> callers("", "callers", "Callers at each node", false, 4,
                                         "number", command);
    TCLAP::ValueArg<int> limits("", "limits", "Endpoints that limit their request rate",
                                false, 1, "number", command);
    TCLAP::ValueArg<std::size_t> crashing_callers("", "crashing-callers",
                                                  "Callers whose requests crash engines",
                                                  false, 1, "number", command);
    TCLAP::ValueArg<std::size_t> crowd("", "crowd",
                                       "Clients of each node that keep to no limit",
                                       false, 0, "number", command);
    TCLAP::ValueArg<int> cuts("", "cuts", "Cuts of nodes from all endpoints", false, 1,
                              "number", command);
    TCLAP::ValueArg<int> large_changes(
        "", "large-changes", "Changes of the configuration that add many routes", false,
        1, "number", command);
    TCLAP::ValueArg<int> restores("", "restores",
                                  "Restorations of the store from an older copy", false,
                                  0, "number", command);
    TCLAP::ValueArg<int> revocations("", "revocations",
                                     "Revocations of keys beside cuts and pauses", false,
                                     0, "number", command);
    TCLAP::ValueArg<std::size_t> added_routes("", "added-routes",
                                              "Routes that a large change adds", false,
                                              1'400, "number", command);
    TCLAP::ValueArg<std::uint32_t> link_rate(
        "", "link-rate", "Rate of the links from the store and between nodes; 0: any",
        false, 1'250'000, "bytes per second", command);
    TCLAP::ValueArg<int> gap("", "gap", "Mean time between faults", false, 400,
                             "milliseconds", command);
    TCLAP::SwitchArg keep("", "keep", "Keep logs and records of passed seeds too",
                          command);
    command.parse(argc, argv);

    // Line-buffered, so that output to a file can be followed too
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    bool kept = true;
    for (std::uint32_t index = 0; index < count.getValue(); ++index)
    {
        soak_options options{
            .schedule = {.seed = seed.getValue() + index,
                         .span = std::chrono::seconds(seconds.getValue()),
                         .mean_gap = std::chrono::milliseconds(gap.getValue()),
                         .limits = limits.getValue(),
                         .cuts = cuts.getValue(),
                         .large_changes = large_changes.getValue(),
                         .restores = restores.getValue(),
                         .revocations = revocations.getValue()},
            .fleet = {.nodes = nodes.getValue(),
                      .engines = engines.getValue(),
                      .link_rate = link_rate.getValue()},
            .callers = callers.getValue(),
            .added_routes = added_routes.getValue(),
            .crashing_callers = crashing_callers.getValue(),
            .crowd = crowd.getValue()};
        kept = run_seed(options, keep.getValue()) && kept;
    }
    return kept ? 0 : 1;
}
