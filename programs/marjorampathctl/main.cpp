#include <programs/marjorampathctl/exit_code.hpp>
#include <programs/marjorampathctl/node_command.hpp>
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
    TCLAP::SwitchArg json("", "json", "Print JSON in place of tables", command);
    TCLAP::ValueArg<std::string> nodes("", "node", "Administration addresses of nodes",
                                       false, "", "IP:PORT,…", command);
    TCLAP::ValueArg<std::string> token_file("", "token-file",
                                            "File whose first line is the token", false,
                                            "", "file", command);
    TCLAP::UnlabeledMultiArg<std::string> words(
        "command",
        "sheet check FOLDER | sheet pack FOLDER NUMBER OUTPUT | sheet diff OLD NEW | "
        "status "
        "| loads | explain SUBJECT | overnight SINCE_MS | drain | quarantine list | "
        "quarantine release FINGERPRINT",
        true, "words", command);
    command.parse(argc, argv);

    auto arguments = words.getValue();
    auto const name = arguments.front();
    arguments.erase(arguments.begin());
    if (name == "sheet")
        return run_sheet_command(arguments, json.getValue());

    if (is_node_command(name))
        return run_node_command(name, arguments,
                                {.nodes = nodes.getValue(),
                                 .token_file = token_file.getValue(),
                                 .json = json.getValue()});

    fmt::print(stderr, "marjorampathctl: no command `{}`; see --help\n", name);
    return usage;
}
