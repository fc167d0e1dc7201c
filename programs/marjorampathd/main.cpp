#include <serving/node/node.hpp>
#include <serving/node/signal_mask.hpp>
#include <serving/settings/settings_file.hpp>
#include <serving/telemetry/log.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>

namespace
{

using namespace marjorampath::serving;

// Exit statuses
constexpr int exit_success = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

// Prints the problems of the settings; returns the exit status
int print_problems(std::vector<settings_problem> const& problems)
{
    for (auto const& problem : problems)
        fmt::print(stderr, "{}\n", problem.to_string());
    return exit_bad_settings;
}

// Runs the node until it is stopped; returns the exit status
int serve(node_settings const& settings)
{
    node running_node(settings);
    if (auto const error = running_node.listen())
    {
        fmt::print(stderr, "cannot listen for callers: {}\n", error.message());
        return exit_failed;
    }

    // Print the actual addresses: with port 0 the system chooses the port
    auto const address = running_node.caller_address();
    log_event(event::listener_opened, "callers", address.address().to_string(), "port",
              address.port());
    if (auto const peers = running_node.peer_address())
        fmt::print("peers {}:{} ", peers->address().to_string(), peers->port());
    fmt::print("callers {}:{}\n", address.address().to_string(), address.port());
    std::fflush(stdout);
    running_node.run();
    return exit_success;
}

} // namespace

/// Runs the node: accepts callers on an entry host and routes requests to endpoints.
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
        return print_problems(*problems);
    auto const& settings = std::get<node_settings>(read);
    if (print.getValue())
        fmt::print("{}", format_settings(settings));
    if (check.getValue() || print.getValue())
        return exit_success;
    return serve(settings);
}
