#include <serving/telemetry/event_catalogue.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

/// Prints the catalogue of log events as a page in Markdown.
int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Prints docs/EVENTS.md", ' ', "0.1.0");
    command.parse(argc, argv);
    fmt::print("{}", marjorampath::serving::event_catalogue_page());
    return 0;
}
