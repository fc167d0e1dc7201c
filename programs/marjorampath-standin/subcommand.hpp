#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::standin
{

/// A part of the program that the first argument selects.
struct subcommand
{
    /// Name on the command line.
    std::string_view name;
    /// One line for the help text.
    std::string_view summary;
    /// Runs it with the remaining arguments, the first being the program's name; returns
    /// the exit status.
    int (*run)(std::vector<std::string>& arguments);
};

/// The model engine.
int run_engine(std::vector<std::string>& arguments);

/// The plain service.
int run_service(std::vector<std::string>& arguments);

/// The weight store.
int run_store(std::vector<std::string>& arguments);

/// The configuration service.
int run_configuration(std::vector<std::string>& arguments);

/// The host list.
int run_hosts(std::vector<std::string>& arguments);

/// The store of the users' platform.
int run_users_store(std::vector<std::string>& arguments);

/// An endpoint of the users' platform.
int run_users_endpoint(std::vector<std::string>& arguments);

} // namespace marjorampath::standin
