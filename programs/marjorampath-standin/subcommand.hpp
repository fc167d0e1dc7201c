#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::standin
{

/// A subcommand of the program, selected by the first argument.
struct subcommand
{
    /// Name on the command line.
    std::string_view name;
    /// One line for the help text.
    std::string_view summary;
    /// Runs it and returns the exit status. The first argument is the name of the
    /// subcommand, in place of the program's name.
    int (*run)(std::vector<std::string>& arguments);
};

/// Runs the stand-in for a model engine.
int run_engine(std::vector<std::string>& arguments);

/// Runs the stand-in for a plain service.
int run_service(std::vector<std::string>& arguments);

/// Runs the stand-in for the weight store.
int run_store(std::vector<std::string>& arguments);

/// Runs the stand-in for the configuration service.
int run_configuration(std::vector<std::string>& arguments);

/// Runs the stand-in for the host list service.
int run_hosts(std::vector<std::string>& arguments);

/// Runs the stand-in for the store of the users' platform.
int run_users_store(std::vector<std::string>& arguments);

/// Runs the stand-in for an endpoint of the users' platform.
int run_users_endpoint(std::vector<std::string>& arguments);

} // namespace marjorampath::standin
