#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::bench
{

/// A part of the program that the first argument selects.
struct subcommand
{
    /// Name on the command line.
    std::string_view name;
    /// One line for the help text.
    std::string_view summary;
    /// Runs it with the remaining arguments, the first being the subcommand's name;
    /// returns the exit status.
    int (*run)(std::vector<std::string>& arguments);
};

/// Calls between nodes: Cap'n Proto RPC beside plain messages.
int run_link(std::vector<std::string>& arguments);

/// The placement and load policy in virtual time, beside baselines.
int run_policy(std::vector<std::string>& arguments);

/// What one adapter, engine, host, key and message cost, as lines of docs/slopes.yaml.
int run_slopes(std::vector<std::string>& arguments);

/// Load on the request path of a node or an engine.
int run_path(std::vector<std::string>& arguments);

} // namespace marjorampath::bench
