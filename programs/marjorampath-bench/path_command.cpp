#include <programs/marjorampath-bench/path_faults.hpp>
#include <programs/marjorampath-bench/path_worker.hpp>
#include <programs/marjorampath-bench/process_usage.hpp>
#include <programs/marjorampath-bench/stand_in_client.hpp>
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

// Arguments of the command line
struct path_arguments
{
    using text_argument = TCLAP::ValueArg<std::string>;
    using number_argument = TCLAP::ValueArg<std::uint32_t>;
    using address_argument = TCLAP::MultiArg<std::string>;

    TCLAP::CmdLine command{"Load test of the request path", ' ', "0.1.0"};
    address_argument target{
        "",   "target",  "Address of a node, or of an engine with --direct",
        true, "IP:PORT", command};
    address_argument fault{
        "",    "fault",   "Engine stand-in in which faults are injected",
        false, "IP:PORT", command};
    TCLAP::SwitchArg direct{"", "direct", "Send to engines, without a node in between",
                            command};
    TCLAP::ValueArg<double> rate{
        "",
        "rate",
        "Requests per second; 0 sends each request when the one before it is answered",
        false,
        0,
        "number",
        command};
    number_argument streams{"",     "streams", "Maximum number of requests in flight",
                            false,  64,        "number",
                            command};
    TCLAP::ValueArg<std::uint64_t> requests{
        "",       "requests", "Total number of requests; 0 for no limit", false, 0,
        "number", command};
    number_argument duration{"",     "duration", "Time for which requests are started",
                             false,  10,         "seconds",
                             command};
    number_argument threads{"", "threads", "Threads", false, 2, "number", command};
    text_argument service{"", "service", "Service", false, "dossier", "name", command};
    text_argument prefix{"",     "adapter-prefix", "Prefix of the adapters' names",
                         false,  "origin-",        "text",
                         command};
    number_argument adapters{"",       "adapters", "Number of adapters", false, 4,
                             "number", command};
    text_argument version{
        "", "adapter-version", "Expected adapter version", false, "v1", "text", command};
    number_argument tokens{
        "", "tokens", "Number of tokens in each answer", false, 16, "number", command};
    number_argument streamed{
        "",     "streamed-percent", "Percentage of streamed answers", false, 0, "percent",
        command};
    number_argument sendings{
        "",     "sendings", "Maximum number of sends of a request that was not run",
        false,  1,          "number",
        command};
    number_argument fault_ms{
        "", "fault-ms", "Time between faults", false, 1000, "milliseconds", command};
    number_argument pid{
        "",     "pid", "Process whose processor and memory usage is reported",
        false,  0,     "number",
        command};
    number_argument seed{"",       "seed", "Seed for the choice of adapters", false, 1,
                         "number", command};
};

std::vector<tcp::endpoint> parse_addresses(std::vector<std::string> const& texts)
{
    std::vector<tcp::endpoint> addresses;
    for (auto const& text : texts)
    {
        auto const address = serving::parse_address(text);
        if (!address)
            throw std::invalid_argument("not an address of the form IP:PORT: " + text);
        addresses.push_back(*address);
    }
    return addresses;
}

path_options make_options(path_arguments& arguments)
{
    path_options options;
    options.targets = parse_addresses(arguments.target.getValue());
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
    options.max_attempts = std::max(1U, arguments.sendings.getValue());
    options.seed = arguments.seed.getValue();
    return options;
}

// Loads all adapters, since there is no node that would
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
               all.attempts);
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
    auto const options = make_options(parsed);
    if (options.direct)
        load_adapters(options);

    auto const pid = static_cast<pid_t>(parsed.pid.getValue());
    auto const usage_before = read_process_usage(pid);
    auto const start = std::chrono::steady_clock::now();
    path_statistics all;
    std::uint64_t fault_count = 0;
    {
        path_faults faults(parse_addresses(parsed.fault.getValue()),
                           std::chrono::milliseconds(parsed.fault_ms.getValue()));
        all = run_workers(options);
        fault_count = faults.count();
    }
    std::chrono::duration<double> const time = std::chrono::steady_clock::now() - start;

    print_report(all, time.count());
    if (parsed.fault.isSet())
        fmt::print("{:<14} {}\n", "faults", fault_count);
    if (pid != 0)
    {
        auto const usage = read_process_usage(pid);
        auto const processor_seconds =
            usage.processor_seconds - usage_before.processor_seconds;
        fmt::print("{:<14} {:.3f} cores, {:.1f} MB resident\n", "process",
                   processor_seconds / time.count(),
                   static_cast<double>(usage.resident_bytes) / 1e6);
    }
    return all.truncated + all.wrong + all.lost == 0 && all.whole > 0 ? 0 : 1;
}

} // namespace marjorampath::bench
