#include <programs/marjorampath-bench/subcommand.hpp>

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <exception>

using marjorampath::bench::subcommand;

namespace
{

constexpr std::array subcommands{
    subcommand{"link", "calls between nodes: RPC compared with plain messages",
               marjorampath::bench::run_link},
    subcommand{"policy",
               "the placement and load policy compared with baselines, in virtual time",
               marjorampath::bench::run_policy},
    subcommand{"slopes",
               "cost of one adapter, engine, host or message, for docs/slopes.yaml",
               marjorampath::bench::run_slopes},
    subcommand{"path", "load test of the request path", marjorampath::bench::run_path},
};

int print_usage()
{
    fmt::print(stderr, "usage: marjorampath-bench SUBCOMMAND [OPTIONS]\n");
    for (auto const& each : subcommands)
        fmt::print(stderr, "  {:14} {}\n", each.name, each.summary);
    return 2;
}

} // namespace

/// Runs one of the benchmarks of the system and its parts.
int main(int argc, char** argv)
{
    if (argc < 2)
        return print_usage();

    std::vector<std::string> arguments(argv + 1, argv + argc);
    for (auto const& each : subcommands)
    {
        if (each.name != arguments.front())
            continue;
        try
        {
            return each.run(arguments);
        }
        catch (std::exception const& error)
        {
            fmt::print(stderr, "{}: {}\n", each.name, error.what());
            return 1;
        }
    }
    return print_usage();
}
