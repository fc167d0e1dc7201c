#include <programs/marjorampath-standin/subcommand.hpp>

#include <fmt/format.h>
#include <tclap/ArgException.h>

#include <array>
#include <cstdio>
#include <exception>

using marjorampath::standin::subcommand;

namespace
{

constexpr std::array subcommands{
    subcommand{"engine", "a model engine", marjorampath::standin::run_engine},
    subcommand{"service", "a plain service", marjorampath::standin::run_service},
    subcommand{"store", "the weight store", marjorampath::standin::run_store},
    subcommand{"configuration", "the configuration service",
               marjorampath::standin::run_configuration},
    subcommand{"hosts", "the host list", marjorampath::standin::run_hosts},
    subcommand{"users-store", "the store of the users' platform",
               marjorampath::standin::run_users_store},
    subcommand{"users-endpoint", "an endpoint of the users' platform",
               marjorampath::standin::run_users_endpoint},
};

int print_usage()
{
    fmt::print(stderr, "usage: marjorampath-standin SUBCOMMAND [OPTIONS]\n");
    for (auto const& each : subcommands)
        fmt::print(stderr, "  {:16} {}\n", each.name, each.summary);
    return 2;
}

} // namespace

/// Stand-ins for the services of the platform and for endpoints, for tests and demos.
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
