#include <serving/node/held_signals.hpp>
#include <serving/node/node.hpp>
#include <serving/settings/settings_file.hpp>
#include <serving/telemetry/log.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>

namespace
{

using namespace marjorampath::serving;

// Exit statuses
constexpr int exit_fine = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

int report(std::vector<settings_problem> const& problems)
{
    for (auto const& problem : problems)
        fmt::print(stderr, "{}\n", problem.to_string());
    return exit_bad_settings;
}

int serve(node_settings const& settings)
{
    node host(settings);
    if (auto const error = host.listen())
    {
        fmt::print(stderr, "cannot listen for callers: {}\n", error.message());
        return exit_failed;
    }

    // Whoever started the program learns the port that was chosen
    auto const address = host.callers();
    log_event(event::listener_opened, "callers", address.address().to_string(), "port",
              address.port());
    if (auto const peers = host.peers())
        fmt::print("peers {}:{} ", peers->address().to_string(), peers->port());
    fmt::print("callers {}:{}\n", address.address().to_string(), address.port());
    std::fflush(stdout);
    host.run();
    return exit_fine;
}

} // namespace

/// The node: accepts callers on one entry host and routes their requests to endpoints.
int main(int argc, char** argv)
{
    block_signals();
    TCLAP::CmdLine command("Node of marjorampath", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> file("s", "settings", "YAML file with the settings",
                                      true, "", "FILE", command);
    TCLAP::SwitchArg check("c", "check", "Only check the settings", command);
    TCLAP::SwitchArg print("p", "print-settings",
                           "Only print the settings with all defaults", command);
    command.parse(argc, argv);

    auto const read = read_settings_file(file.getValue());
    if (auto const* problems = std::get_if<std::vector<settings_problem>>(&read))
        return report(*problems);
    auto const& settings = std::get<node_settings>(read);
    if (print.getValue())
        fmt::print("{}", format_settings(settings));
    if (check.getValue() || print.getValue())
        return exit_fine;
    return serve(settings);
}
