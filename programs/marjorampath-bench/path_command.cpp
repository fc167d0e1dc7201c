#include <programs/marjorampath-bench/path_faults.hpp>
#include <programs/marjorampath-bench/path_worker.hpp>
#include <programs/marjorampath-bench/process_usage.hpp>
#include <programs/marjorampath-bench/stand_in_switch.hpp>
#include <programs/marjorampath-bench/subcommand.hpp>
#include <serving/host_list/host_entry.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <stdexcept>
#include <thread>

namespace marjorampath::bench
{

namespace
{

using boost::asio::ip::tcp;

// The command line
struct path_arguments
{
    using text_argument = TCLAP::ValueArg<std::string>;
    using number_argument = TCLAP::ValueArg<std::uint32_t>;
    using address_argument = TCLAP::MultiArg<std::string>;

    // The parser
    TCLAP::CmdLine command{"Load on the request path", ' ', "0.1.0"};
    // The arguments
    address_argument target{"",   "target",  "Node, or engine with --direct",
                            true, "IP:PORT", command};
    address_argument fault{"",    "fault",   "Engine stand-in that is made to fail",
                           false, "IP:PORT", command};
    TCLAP::SwitchArg direct{"", "direct", "The targets are engines", command};
    TCLAP::ValueArg<double> rate{
        "",       "rate", "Requests a second; 0 sends without a pace", false, 0,
        "number", command};
    number_argument streams{"",       "streams", "Requests under way at most", false, 64,
                            "number", command};
    TCLAP::ValueArg<std::uint64_t> requests{
        "", "requests", "Requests in total; 0 for no bound", false, 0, "number", command};
    number_argument duration{"",        "duration", "Time of the load", false, 10,
                             "seconds", command};
    number_argument threads{"", "threads", "Threads", false, 2, "number", command};
    text_argument service{"", "service", "Service", false, "dossier", "name", command};
    text_argument prefix{"",     "adapter-prefix", "Start of the adapters' names",
                         false,  "origin-",        "text",
                         command};
    number_argument adapters{"",       "adapters", "Number of adapters", false, 4,
                             "number", command};
    text_argument version{
        "", "adapter-version", "Version that must answer", false, "v1", "text", command};
    number_argument tokens{"",       "tokens", "Tokens of each answer", false, 16,
                           "number", command};
    number_argument streamed{
        "",     "streamed-percent", "Share of streamed answers", false, 0, "percent",
        command};
    number_argument sendings{"",     "sendings", "Sendings of a request that did not run",
                             false,  1,          "number",
                             command};
    number_argument fault_ms{
        "", "fault-ms", "Time between two faults", false, 1000, "milliseconds", command};
    number_argument pid{"",       "pid",  "Process whose usage is reported", false, 0,
                        "number", command};
    number_argument seed{"",       "seed", "Seed of the choice of adapters", false, 1,
                         "number", command};
};

std::vector<tcp::endpoint> addresses_of(std::vector<std::string> const& texts)
{
    std::vector<tcp::endpoint> addresses;
    for (auto const& text : texts)
    {
        auto const address = serving::parse_address(text);
        if (!address)
            throw std::invalid_argument("not an address IP:PORT: " + text);
        addresses.push_back(*address);
    }
    return addresses;
}

path_options options_of(path_arguments& arguments)
{
    path_options options;
    options.targets = addresses_of(arguments.target.getValue());
    options.direct = arguments.direct.getValue();
    options.rate = arguments.rate.getValue();
    options.streams = arguments.streams.getValue();
    options.requests = arguments.requests.getValue();
    options.duration = std::chrono::seconds(arguments.duration.getValue());
    options.threads = std::max(1U, arguments.threads.getValue());
    options.service = arguments.service.getValue();
    options.adapter_prefix = arguments.prefix.getValue();
    options.adapters = std::max(1U, arguments.adapters.getValue());
    options.version = arguments.version.getValue();
    options.tokens = arguments.tokens.getValue();
    options.streamed_percent = arguments.streamed.getValue();
    options.max_sendings = std::max(1U, arguments.sendings.getValue());
    options.seed = arguments.seed.getValue();
    return options;
}

// Without a node between, nobody else loads the adapters
void load_adapters(path_options const& options)
{
    for (auto const& target : options.targets)
        for (std::uint32_t adapter = 0; adapter < options.adapters; ++adapter)
        {
            auto const body =
                fmt::format(R"({{"lora_name":"{}{}@{}","lora_path":""}})",
                            options.adapter_prefix, adapter, options.version);
            post_to_stand_in(target, "/v1/load_lora_adapter", body,
                             {{"X-Fencing-Token", "1"}});
        }
}

void print_times(char const* name, std::vector<std::uint32_t>& values)
{
    fmt::print("{:<14} p50 {:.3f} ms, p99 {:.3f} ms\n", name, quantile(values, 0.5) / 1e3,
               quantile(values, 0.99) / 1e3);
}

void print_report(path_statistics& all, double seconds)
{
    fmt::print("{:<14} {} in {:.2f} s, {:.0f} a second; sendings {}\n", "requests",
               all.requests, seconds, static_cast<double>(all.requests) / seconds,
               all.sendings);
    fmt::print("{:<14} {}\n{:<14} {}\n{:<14} {}\n{:<14} {}\n", "whole", all.whole,
               "truncated", all.truncated, "wrong", all.wrong, "lost", all.lost);
    print_times("latency", all.latency_us);
    print_times("first part", all.first_token_us);
    fmt::print("{:<14} {:.0f} a second\n", "tokens",
               static_cast<double>(all.tokens) / seconds);
    for (auto const& [name, count] : all.errors)
        fmt::print("{:<14} {}: {}\n", "error", name, count);
}

path_statistics run_workers(path_options const& options)
{
    std::vector<std::unique_ptr<path_worker>> workers;
    std::vector<std::thread> threads;
    for (std::uint32_t index = 0; index < options.threads; ++index)
        workers.push_back(std::make_unique<path_worker>(options, index));
    for (auto const& worker : workers)
        threads.emplace_back([&worker] { worker->run(); });
    for (auto& thread : threads)
        thread.join();

    path_statistics all;
    for (auto const& worker : workers)
        all.add(worker->statistics());
    return all;
}

} // namespace

int run_path(std::vector<std::string>& arguments)
{
    path_arguments parsed;
    parsed.command.parse(arguments);
    auto const options = options_of(parsed);
    if (options.direct)
        load_adapters(options);

    auto const pid = static_cast<pid_t>(parsed.pid.getValue());
    auto const usage_before = read_process_usage(pid);
    auto const start = std::chrono::steady_clock::now();
    path_statistics all;
    std::uint64_t caused = 0;
    {
        path_faults faults(addresses_of(parsed.fault.getValue()),
                           std::chrono::milliseconds(parsed.fault_ms.getValue()));
        all = run_workers(options);
        caused = faults.count();
    }
    std::chrono::duration<double> const time = std::chrono::steady_clock::now() - start;

    print_report(all, time.count());
    if (parsed.fault.isSet())
        fmt::print("{:<14} {}\n", "faults", caused);
    if (pid != 0)
    {
        auto const usage = read_process_usage(pid);
        auto const used = usage.processor_seconds - usage_before.processor_seconds;
        fmt::print("{:<14} {:.3f} cores, {:.1f} MB resident\n", "process",
                   used / time.count(), static_cast<double>(usage.resident_bytes) / 1e6);
    }
    return all.truncated + all.wrong + all.lost == 0 && all.whole > 0 ? 0 : 1;
}

} // namespace marjorampath::bench
