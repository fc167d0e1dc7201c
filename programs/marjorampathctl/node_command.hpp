#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::ctl
{

/// How a node is reached.
struct node_command_options
{
    /// Administration addresses of nodes, `IP:PORT[,IP:PORT…]`.
    std::string nodes;
    /// File whose first line is the token.
    std::string token_file;
    /// Whether to print JSON in place of tables.
    bool json = false;
};

/// Whether a name is a command that asks nodes.
bool is_node_command(std::string_view name) noexcept;

/// Asks each node and prints its answer. Returns the exit code: 0 where all nodes
/// answered, 1 where one did not or refused, 2 for wrong words.
int run_node_command(std::string const& name, std::vector<std::string> const& words,
                     node_command_options const& options);

} // namespace marjorampath::ctl
