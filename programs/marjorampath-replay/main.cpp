#include <marjorampath/sheet/sheet_reader.hpp>
#include <marjorampath/trace/promise_checker.hpp>
#include <marjorampath/trace/trace_generator.hpp>
#include <marjorampath/trace/trace_text.hpp>
#include <programs/marjorampath-standin/generated_text.hpp>
#include <programs/marjorampathctl/exit_code.hpp>
#include <serving/replay/endpoint_list.hpp>
#include <serving/replay/replay_report.hpp>
#include <serving/replay/replay_runner.hpp>
#include <serving/sheet_files/sheet_files.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iterator>
#include <optional>

namespace marjorampath::replay
{

namespace
{

// Values of the command line options
struct arguments
{
    std::string trace;
    std::string sheet;
    std::string targets;
    std::string records;
    std::string report;
    std::string generate;
    std::uint64_t seed = 1;
    double seconds = 60.0;
    double rate = 20.0;
    double speed = 1.0;
    std::uint32_t adapters = 3'000;
};

int usage_error(std::string_view text)
{
    fmt::print(stderr, "marjorampath-replay: {}\n", text);
    return ctl::usage;
}

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

// Reads the sheet of a folder; null where it is not valid
std::shared_ptr<sheet const> open_sheet(std::string const& folder)
{
    constexpr std::uint64_t any_number = 1;
    auto const packed = serving::pack_sheet_folder(folder, any_number);
    if (packed.index() != 0)
        return nullptr;
    auto const& contents = std::get<packed_sheet>(packed);
    auto const read = read_sheet(contents.manifest, contents.parts);
    return read.index() == 0 ? std::get<0>(read) : nullptr;
}

// The text that the engine stand-in generates for a prompt
std::string standin_text(std::string_view model, std::string_view prompt,
                         std::uint32_t tokens)
{
    return standin::text_for(model, prompt).tokens(tokens);
}

// Prints a generated trace
int generate(arguments const& parsed)
{
    constexpr double ms_per_second = 1'000.0;
    auto options = trace_options_of(parsed.generate);
    options.length_ms = static_cast<std::uint64_t>(parsed.seconds * ms_per_second);
    options.rate = parsed.rate;
    options.adapters = parsed.adapters;
    for (auto const& request : generate_trace(options, parsed.seed))
        fmt::print("{}\n", write_trace_line(request));
    return ctl::success;
}

void print_summary(serving::replay_summary const& summary)
{
    fmt::print("{} requests, {} sendings, {} whole\n", summary.requests, summary.sendings,
               summary.whole);
    fmt::print("time to the end: p50 {:.1f} ms, p99 {:.1f} ms\n",
               serving::quantile(summary.total_ms, 0.5),
               serving::quantile(summary.total_ms, 0.99));
    for (auto const& [name, count] : summary.answers)
        fmt::print("  {:<45} {}\n", name, count);
    for (std::size_t index = 0; index < promise_count; ++index)
        fmt::print("  promise {:<24} broken {}\n", to_string(static_cast<promise>(index)),
                   summary.broken[index]);
}

// Replays a trace, checks the promises and writes the report
int replay(arguments const& parsed)
{
    auto const targets = serving::parse_endpoint_list(parsed.targets);
    auto const endpoints = serving::parse_endpoint_list(parsed.records);
    if (!targets || targets->empty() || !endpoints)
        return usage_error("--target and --records take IP:PORT[,IP:PORT…]");
    auto const current_sheet = open_sheet(parsed.sheet);
    if (!current_sheet)
        return usage_error("--sheet does not name a folder with a valid sheet");

    auto const text = read_file(parsed.trace);
    if (!text)
        return usage_error("--trace cannot be read");
    auto const read = read_trace(*text);
    if (auto const* problem = std::get_if<trace_problem>(&read))
        return usage_error(fmt::format("{}:{}:{}: {}", parsed.trace, problem->line,
                                       problem->member, problem->text));

    // Send all requests, then fetch the endpoints' records of what they executed
    auto const& trace = std::get<0>(read);
    auto const results = serving::run_replay(
        trace,
        {.targets = *targets, .speed = parsed.speed, .on_progress = [&](auto done) {
             fmt::print(stderr, "{} of {} requests\n", done, trace.size());
         }});
    std::vector<std::string> missing;
    auto const records = serving::fetch_records(*endpoints, missing);

    auto broken = check_replay({*current_sheet, trace, results, records, standin_text});
    for (auto const& each : missing)
        broken.push_back({promise::answered, 0, "no records from endpoint " + each});

    auto const summary = serving::summarise(trace, results, broken);
    print_summary(summary);
    if (serving::write_replay_report(parsed.report, summary, broken))
        return usage_error("--report cannot be written");
    return broken.empty() ? ctl::success : ctl::failure;
}

} // namespace

} // namespace marjorampath::replay

/// Replays a recorded trace and checks the promises, or generates a trace.
int main(int argc, char** argv)
{
    using namespace marjorampath::replay;

    TCLAP::CmdLine command(
        "Replays a trace against entry hosts and checks each promise. Example: "
        "marjorampath-replay --trace day.jsonl --sheet exported --target "
        "127.0.0.1:8080 --records 127.0.0.1:9001 --report report",
        ' ', "0.1.0");
    arguments parsed;
    using text_argument = TCLAP::ValueArg<std::string>;
    text_argument trace("", "trace", "Trace file, JSON Lines", false, "", "file",
                        command);
    text_argument sheet("", "sheet", "Folder of the exported tables", false, "", "folder",
                        command);
    text_argument targets("", "target", "Entry hosts", false, "", "IP:PORT,…", command);
    text_argument records("", "records", "Endpoints whose records are fetched", false, "",
                          "IP:PORT,…", command);
    text_argument report("", "report", "Folder for the report", false, "report", "folder",
                         command);
    text_argument generate_for("", "generate",
                               "Print a trace of ennstal or trazalgodon and exit", false,
                               "", "customer", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the generator", false, 1,
                                        "number", command);
    TCLAP::ValueArg<double> seconds("", "seconds", "Length of a generated trace", false,
                                    60.0, "seconds", command);
    TCLAP::ValueArg<double> rate("", "rate", "Requests per second of a generated trace",
                                 false, 20.0, "rate", command);
    TCLAP::ValueArg<std::uint32_t> adapters("", "adapters",
                                            "Number of adapters of a generated trace",
                                            false, 3'000, "number", command);
    TCLAP::ValueArg<double> speed("", "speed",
                                  "Factor by which the replay is faster than the trace",
                                  false, 1.0, "factor", command);
    command.parse(argc, argv);

    parsed = {trace.getValue(),   sheet.getValue(),   targets.getValue(),
              records.getValue(), report.getValue(),  generate_for.getValue(),
              seed.getValue(),    seconds.getValue(), rate.getValue(),
              speed.getValue(),   adapters.getValue()};
    if (!parsed.generate.empty())
        return generate(parsed);
    return replay(parsed);
}
