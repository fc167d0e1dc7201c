
#include <fmt/format.h>
#include <tclap/CmdLine.h>

/// The operators' command line program.
int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Operators' tool of marjorampath", ' ', "0.1.0");
    command.parse(argc, argv);
    return 0;
}
