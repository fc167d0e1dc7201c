#include <programs/marjorampathctl/exit_code.hpp>
#include <serving/entry/entry_node.hpp>
#include <serving/entry/entry_settings.hpp>
#include <serving/node/signal_mask.hpp>
#include <serving/telemetry/log.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <malloc.h>
#include <platform/users_platform.hpp>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace marjorampath::serving;
using marjorampath::ctl::failure;
using marjorampath::ctl::success;
using marjorampath::ctl::usage;

// Prints the problems of the settings; returns the exit status
int print_problems(std::vector<settings_problem> const& problems)
{
    for (auto const& problem : problems)
        fmt::print(stderr, "{}\n", problem.to_string());
    return usage;
}

// Has large blocks returned to the system when they are freed. The default threshold
// grows with the blocks that were freed, and those of clients are as large as they like
void return_large_blocks()
{
    constexpr int min_mapped_bytes = 262'144;
    mallopt(M_MMAP_THRESHOLD, min_mapped_bytes);
}

// Runs the node until it is stopped; returns the exit status
int serve(entry_settings const& settings, std::string const& file)
{
    logger::options log;
    log.output = stdout;
    log.lines_per_second = settings.log_lines_per_second;
    log.batch_interval = std::chrono::milliseconds(100);
    configure_process_logger(log);
    entry_node<marjorampath::platform::users_platform> node(
        settings, [file] { return read_entry_settings_file(file); });
    if (auto const error = node.listen())
    {
        log_event(event::listener_failed, "error", error.message());
        process_logger().flush();
        return failure;
    }
    node.run();
    process_logger().flush();
    return success;
}

} // namespace

/// Runs the entry node on the users' platform.
int main(int argc, char** argv)
{
    block_signals();
    return_large_blocks();
    TCLAP::CmdLine command("Entry node of marjorampath on the users' platform", ' ',
                           "0.1.0");
    TCLAP::ValueArg<std::string> file("s", "settings", "YAML file with the settings",
                                      true, "", "FILE", command);
    TCLAP::SwitchArg check("c", "check", "Only check the settings", command);
    command.parse(argc, argv);

    auto const read = read_entry_settings_file(file.getValue());
    if (auto const* problems = std::get_if<std::vector<settings_problem>>(&read))
        return print_problems(*problems);
    if (check.getValue())
        return success;
    return serve(std::get<entry_settings>(read), file.getValue());
}
