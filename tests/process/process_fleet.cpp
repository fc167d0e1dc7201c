#include <tests/process/process_fleet.hpp>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace marjorampath::test
{

namespace json = boost::json;

namespace
{

// Time limit for a node to exit: covers the shutdown notice and the longest stream of a
// test
constexpr auto stop_timeout = std::chrono::seconds(30);
// Number of adapters of the service `dossier`
constexpr int adapter_count = 8;

void write_file(std::string const& path, std::string const& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    if (!file.flush())
        throw std::runtime_error("cannot write " + path);
}

} // namespace

process_fleet::process_fleet(options const& values)
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "marjorampath-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create " + pattern);
    folder_ = pattern;

    // The platform
    store_ = start_standin("store", values.store_arguments);
    configuration_ = start_standin("configuration", {});
    hosts_ = start_standin("hosts", {});
    publish_sheet(1, "v1");

    // Endpoints
    auto engine_arguments = values.engine_arguments;
    engine_arguments.insert(engine_arguments.end(), {"--store", store_->address_text()});
    for (std::size_t index = 0; index < values.engines; ++index)
        engines_.push_back(start_standin("engine", engine_arguments));
    service_ = start_standin("service", {});
    publish_hosts();

    // Nodes
    for (std::size_t index = 0; index < values.nodes; ++index)
        start_node(values.node_settings +
                   (values.joined ? join_settings(values.nodes) : std::string()));
    if (values.joined)
        publish_hosts();
    for (auto const& each : nodes_)
    {
        bool const ready = eventually(
            [&]
            {
                return call(each->address(), "GET", "/readyz").status == 200 &&
                       call(each->address(), "GET", "/services/custody/up").status == 200;
            });
        if (!ready)
            throw std::runtime_error("a node did not become ready; logs are in " +
                                     pattern);
    }
}

process_fleet::~process_fleet()
{
    stop_nodes();
    nodes_.clear();
    engines_.clear();
    service_.reset();
    hosts_.reset();
    configuration_.reset();
    store_.reset();
    std::error_code ignored;
    if (!std::getenv("MARJORAMPATH_KEEP_LOGS"))
        std::filesystem::remove_all(folder_, ignored);
}

void process_fleet::stop_nodes()
{
    for (auto const& node : nodes_)
    {
        node->signal(SIGCONT);
        node->signal(SIGTERM);
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index)
    {
        if (!nodes_[index]->running())
            continue;
        auto const status = nodes_[index]->wait(stop_timeout);
        auto const expected = nodes_[index]->expected_status();
        BOOST_TEST((status && *status == expected),
                   "entry-" << index << " exited with " << status.value_or(-2)
                            << " (-1: ended by a signal, -2: still running)");
    }
}

std::string process_fleet::node_log(std::size_t index) const
{
    std::ifstream log(file(fmt::format("entry-{}.log", index)));
    return {std::istreambuf_iterator<char>(log), {}};
}

std::string process_fleet::file(std::string const& name) const
{
    return (folder_ / name).string();
}

std::unique_ptr<child_process>
process_fleet::start_standin(std::string const& kind, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), kind);
    return std::make_unique<child_process>("marjorampath-standin", std::move(arguments),
                                           file(kind + ".log"));
}

std::string process_fleet::join_settings(std::size_t nodes)
{
    std::string zones;
    for (std::size_t index = 0; index < nodes; ++index)
        zones += fmt::format("{}zone-{}", index == 0 ? "" : ",", index);
    return fmt::format("fleet:\n  address: 127.0.0.1:0\n  zones: {}\n", zones);
}

void process_fleet::start_node(std::string const& added_settings)
{
    auto const name = fmt::format("entry-{}", nodes_.size());
    auto const settings = file(name + ".yaml");
    auto const sets_notice =
        added_settings.find("shutdown_notice_ms") != std::string::npos;
    auto const* notice = sets_notice ? "" : "shutdown_notice_ms: 300\n";
    write_file(settings, fmt::format("host: {}\nzone: zone-{}\nregion: region\n"
                                     "callers: 127.0.0.1:0\nconfiguration_service: {}\n"
                                     "host_list: {}\nhost_list_interval_ms: 200\n"
                                     "{}{}",
                                     name, nodes_.size(), configuration_->address_text(),
                                     hosts_->address_text(), notice, added_settings));
    nodes_.push_back(std::make_unique<child_process>(
        "marjorampathd", std::vector<std::string>{"--settings", settings},
        file(name + ".log")));
}

void process_fleet::publish_sheet(std::uint64_t number, std::string const& version,
                                  std::string const& added_adapters)
{
    auto const folder = fmt::format("sheet-{}-{}", number, version);
    std::filesystem::create_directories(folder_ / folder);
    write_file(file(folder + "/endpoint_kinds.csv"),
               "endpoint_kind,base_model,adapter_slots,concurrency,checks_fence\n"
               "engine,base-7b,4,8,yes\nportal,,0,16,no\n");
    write_file(file(folder + "/services.csv"),
               "service,kind,endpoint_kind,team,weight,deadline_ms\n"
               "dossier,model,engine,drafting,1,15000\n"
               "custody,plain,portal,custody,1,5000\n");
    write_file(file(folder + "/non_idempotent.csv"),
               "service,method,path\ncustody,POST,/transfers*\n");
    std::string adapters = "service,adapter,version\n";
    for (int index = 0; index < adapter_count; ++index)
        adapters += fmt::format("dossier,lot-{},{}\n", index, version);
    write_file(file(folder + "/adapters.csv"), adapters + added_adapters);

    json::object const sheet{{"dir", file(folder)}, {"number", number}};
    auto const answer =
        call(configuration_->address(), "POST", "/standin/sheet", json::serialize(sheet));
    if (answer.status != 200)
        throw std::runtime_error("the sheet was not published");
}

void process_fleet::publish_hosts(std::string_view leaving)
{
    json::array hosts;
    auto const add = [&](std::string const& name, char const* kind,
                         child_process const& process, std::size_t zone)
    {
        hosts.push_back(json::object{{"name", name},
                                     {"role", "endpoint"},
                                     {"kind", kind},
                                     {"address", process.address_text()},
                                     {"zone", fmt::format("zone-{}", zone % 2)},
                                     {"region", "region"},
                                     {"state", name == leaving ? "leaving" : "live"}});
    };
    for (std::size_t index = 0; index < engines_.size(); ++index)
        add(fmt::format("engine-{}", index), "engine", *engines_[index], index);
    add("portal-0", "portal", *service_, 0);
    for (std::size_t index = 0; index < nodes_.size(); ++index)
    {
        // Only a node that joins a fleet starts its first line with `peers ADDRESS`
        auto const& line = nodes_[index]->first_line();
        if (!line.starts_with("peers "))
            continue;
        hosts.push_back(json::object{{"name", fmt::format("entry-{}", index)},
                                     {"role", "entry"},
                                     {"kind", ""},
                                     {"address", line.substr(6, line.find(' ', 6) - 6)},
                                     {"zone", fmt::format("zone-{}", index)},
                                     {"region", "region"},
                                     {"state", "live"}});
    }
    auto const answer = call(hosts_->address(), "PUT", "/standin/hosts",
                             json::serialize(json::object{{"hosts", std::move(hosts)}}));
    if (answer.status != 200)
        throw std::runtime_error("the host list was not published");
}

test_answer process_fleet::complete(std::string_view adapter, std::string_view prompt,
                                    std::uint32_t tokens, bool streamed,
                                    std::size_t node_index)
{
    return call(node(node_index).address(), "POST", "/dossier/v1/completions",
                completion_body(adapter, prompt, tokens, streamed));
}

void process_fleet::set(child_process const& target, std::string const& values)
{
    if (call(target.address(), "POST", "/standin/set", values).status != 200)
        throw std::runtime_error("cannot set the switches " + values);
}

std::vector<json::object> process_fleet::records(child_process const& target)
{
    std::vector<json::object> lines;
    std::istringstream text(call(target.address(), "GET", "/records").body);
    for (std::string line; std::getline(text, line);)
        lines.push_back(json::parse(line).as_object());
    return lines;
}

std::vector<json::object> process_fleet::engine_records(std::string_view member,
                                                        std::string_view value)
{
    std::vector<json::object> matching;
    for (auto const& each : engines_)
        for (auto& line : records(*each))
            if (line.contains(member) && line.at(member) == json::value(value))
                matching.push_back(std::move(line));
    return matching;
}

} // namespace marjorampath::test
