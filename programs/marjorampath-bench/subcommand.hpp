#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::bench
{

/// A benchmark, selected by the first argument.
struct subcommand
{
    /// Name on the command line.
    std::string_view name;
    /// One line for the help text.
    std::string_view summary;
    /// Runs it; `arguments` starts with the subcommand's name. Returns the exit status.
    int (*run)(std::vector<std::string>& arguments);
};

/// Calls between nodes: Cap'n Proto RPC compared with plain messages.
int run_link(std::vector<std::string>& arguments);

/// The placement and load policy compared with baselines, in virtual time.
int run_policy(std::vector<std::string>& arguments);

/// Prints the cost of one adapter, engine, host and message as lines of docs/slopes.yaml.
int run_slopes(std::vector<std::string>& arguments);

/// Load test of the request path of a node or an engine.
int run_path(std::vector<std::string>& arguments);

} // namespace marjorampath::bench
