#include <programs/marjorampathctl/exit_code.hpp>
#include <programs/marjorampathctl/sheet_command.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <string>
#include <vector>

/// The operators' command line program.
int main(int argc, char** argv)
{
    using namespace marjorampath::ctl;

    TCLAP::CmdLine command("Operators' tool of marjorampath. Example: marjorampathctl "
                           "sheet pack exported 42 published",
                           ' ', "0.1.0");
    TCLAP::SwitchArg json("", "json", "Print JSON instead of tables", command);
    TCLAP::UnlabeledMultiArg<std::string> positional(
        "command",
        "sheet check FOLDER | sheet pack FOLDER NUMBER OUTPUT | sheet diff OLD NEW", true,
        "words", command);
    command.parse(argc, argv);

    auto arguments = positional.getValue();
    auto const name = arguments.front();
    arguments.erase(arguments.begin());
    if (name == "sheet")
        return run_sheet_command(arguments, json.getValue());

    fmt::print(stderr, "marjorampathctl: unknown command `{}`; see --help\n", name);
    return usage;
}
