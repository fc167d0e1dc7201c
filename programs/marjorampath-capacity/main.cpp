#include <marjorampath/capacity/capacity_model.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <yaml-cpp/yaml.h>

#include <string>

namespace marjorampath::capacity
{

namespace
{

constexpr double percent = 100;
constexpr double bytes_per_kilobyte = 1e3;
constexpr double bytes_per_megabyte = 1e6;

// One entry of the slopes file, with its value as text
struct slope_entry
{
    std::string value;
    std::string unit;
    std::string command;
};

slope_entry read_slope(YAML::Node const& file, std::string_view name)
{
    auto const node = file[std::string(name)];
    if (!node)
        throw std::runtime_error(fmt::format("the slopes file has no entry `{}`", name));
    return {node["value"].as<std::string>(), node["unit"].as<std::string>(),
            node["command"].as<std::string>()};
}

void print_slopes(YAML::Node const& file)
{
    fmt::print("\n## Measured slopes\n\n| slope | value | unit | command |\n"
               "| --- | ---: | --- | --- |\n");
    for (auto const& field : slope_fields)
    {
        auto const entry = read_slope(file, field.name);
        fmt::print("| {} | {} | {} | `{}` |\n", field.name, entry.value, entry.unit,
                   entry.command);
    }
}

void print_roles(std::vector<role_cost> const& roles)
{
    fmt::print("| role | messages/s | KB/s | core | memory | mechanism | grows with |\n"
               "| --- | ---: | ---: | ---: | ---: | --- | --- |\n");
    for (auto const& role : roles)
        fmt::print("| {} | {:.1f} | {:.1f} | {:.2f} % | {:.2f} MB | {} | {} |\n",
                   role.role, role.messages_per_second,
                   role.bytes_per_second / bytes_per_kilobyte, role.core_share * percent,
                   role.memory_bytes / bytes_per_megabyte, role.mechanism,
                   role.grows_with);
}

// Prints the sum of the roles' costs and whether it is within the bounds of the target
void print_sum(std::string_view name, std::vector<role_cost> const& roles,
               fleet_target const& target, bool with_requests)
{
    role_cost sum;
    for (auto const& role : roles)
    {
        if (role.per_request && !with_requests)
            continue;
        sum.bytes_per_second += role.bytes_per_second;
        sum.core_share += role.core_share;
        sum.memory_bytes += role.memory_bytes;
    }
    auto const fits = [](double value, double bound)
    { return value <= bound ? "yes" : "NO"; };
    fmt::print("| {} | {:.1f} of {:.0f} KB/s: {} | {:.2f} of {:.1f} %: {} | "
               "{:.1f} of {:.0f} MB: {} |\n",
               name, sum.bytes_per_second / bytes_per_kilobyte,
               target.control_bytes_per_second / bytes_per_kilobyte,
               fits(sum.bytes_per_second, target.control_bytes_per_second),
               sum.core_share * percent, target.control_core_share * percent,
               fits(sum.core_share, target.control_core_share),
               sum.memory_bytes / bytes_per_megabyte,
               target.control_memory_bytes / bytes_per_megabyte,
               fits(sum.memory_bytes, target.control_memory_bytes));
}

void print_capacity_page(YAML::Node const& file)
{
    measured_slopes slopes;
    for (auto const& field : slope_fields)
        slopes.*field.member = std::stod(read_slope(file, field.name).value);

    fleet_target const target;
    fleet_design const design;
    auto const roles = compute_role_costs(target, design, slopes);

    fmt::print(
        "# Capacity\n\nWritten by `marjorampath-capacity docs/slopes.yaml`: what each "
        "role costs one node at the\ntarget of the users' first letter ({:.0f} nodes, "
        "{:.0f} engines, {:.0f} adapters,\n{:.0f} requests/s), worked out from the "
        "measured slopes below. The model is\n`marjorampath/capacity`. Each row is "
        "the node that has the largest part of the role; a node\nneed not have "
        "all.\n\n",
        target.hosts, target.engines, target.adapters, target.requests_per_second);
    print_roles(roles);
    fmt::print("\n## Against the bounds\n\n| roles | bytes | processor | memory |\n"
               "| --- | --- | --- | --- |\n");
    print_sum("control that grows with the fleet", roles, target, false);
    print_sum("with the messages of each request", roles, target, true);
    fmt::print("\nReads a second at the configuration service, all regions: {:.1f} of "
               "2,000.\n",
               configuration_reads_per_second(target, design));
    print_slopes(file);
}

} // namespace

} // namespace marjorampath::capacity

/// Prints the capacity page, computed from the file of measured slopes.
int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Prints docs/CAPACITY.md. Example: marjorampath-capacity "
                           "docs/slopes.yaml > docs/CAPACITY.md",
                           ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> path("slopes", "File of measured slopes", true,
                                               "", "file", command);
    command.parse(argc, argv);
    try
    {
        marjorampath::capacity::print_capacity_page(YAML::LoadFile(path.getValue()));
    }
    catch (std::exception const& error)
    {
        fmt::print(stderr, "marjorampath-capacity: {}\n", error.what());
        return 1;
    }
    return 0;
}
