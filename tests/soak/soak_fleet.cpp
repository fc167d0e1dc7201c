#include <serving/host_list/host_entry.hpp>
#include <tests/process/test_client.hpp>
#include <tests/soak/soak_fleet.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <array>
#include <csignal>
#include <fstream>
#include <platform/standin/operator_documents.hpp>
#include <platform/store_codec.hpp>
#include <stdexcept>

namespace marjorampath::test
{

namespace asio = boost::asio;

namespace
{

using tcp = asio::ip::tcp;
using serving::format_address;

constexpr std::string_view readiness_path = "/api/readyz";
constexpr std::array<std::string_view, 2> zones{"zone-a", "zone-b"};

// Loopback address of the first node. Each node has its own address, since a node assumes
// that all nodes use the same ports as itself.
constexpr std::uint32_t first_node_address = 0x7f000a01;
// Distance to the addresses at which the nodes themselves serve their copies of the
// store; other nodes reach these through a proxy
constexpr std::uint32_t relay_address_offset = 0x100;

// Returns a loopback port that is unused at the time of the call
std::uint16_t free_port()
{
    asio::io_context context;
    tcp::acceptor const acceptor(context, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

} // namespace

std::string leaving_organisation(std::size_t index)
{
    return fmt::format("leaving-{}", index);
}

std::string key_of(std::string_view organisation)
{
    return fmt::format("{}-key", organisation);
}

soak_fleet::soak_fleet(asio::io_context& context, options const& values)
    : context_(context), options_(values)
{
    std::filesystem::create_directories(options_.folder);
    store = std::make_unique<child_process>("marjorampath-standin",
                                            std::vector<std::string>{"users-store"},
                                            (options_.folder / "store.log").string());
    publish_configuration();
    endpoints.resize(options_.engines + options_.services);
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        endpoints[index].engine = index < options_.engines;
        endpoints[index].link = std::make_unique<fault_proxy>(context_, tcp::endpoint());
        start_endpoint(index);
    }
    nodes.resize(options_.nodes);
    for (auto& port : ports_)
        port = free_port();
    for (std::size_t index = 0; index < nodes.size(); ++index)
        prepare_node(index);
    write_settings();
    for (std::size_t index = 0; index < nodes.size(); ++index)
        start_node(index);
}

void soak_fleet::prepare_node(std::size_t index)
{
    auto& node = nodes[index];
    node.settings = (options_.folder / fmt::format("node-{}.yaml", index)).string();
    asio::ip::address_v4 const address(first_node_address +
                                       static_cast<std::uint32_t>(index));
    node.readiness = {address, ports_[0]};
    callers_.emplace_back(address, ports_[1]);
    tcp::endpoint const relay(
        asio::ip::address_v4(address.to_uint() + relay_address_offset), ports_[2]);
    relays_.push_back(format_address(relay));
    seeds_.push_back(format_address({address, ports_[2]}));
    peers_.push_back(format_address({address, ports_[3]}));
    node.callers = std::make_unique<fault_proxy>(context_, callers_.back());
    node.store = std::make_unique<fault_proxy>(context_, store->address());
    node.relay =
        std::make_unique<fault_proxy>(context_, tcp::endpoint(address, ports_[2]), relay);
    node.store->set_rate(options_.link_rate);
    node.relay->set_rate(options_.link_rate);
}

void soak_fleet::write_settings() const
{
    for (std::size_t index = 0; index < nodes.size(); ++index)
        std::ofstream(nodes[index].settings) << fmt::format(
            "host: \"node-{}\"\nzone: \"{}\"\ncallers: \"{}\"\n"
            "readiness: \"{}\"\nreadiness_path: \"{}\"\nrelay: \"{}\"\n"
            "peers: \"{}\"\nseeds: [\"{}\"]\nstore: \"{}\"\n"
            "outgoing: \"{}\"\ngrace_s: 8\n{}{}",
            index, zones.at(index % zones.size()), format_address(callers_[index]),
            format_address(nodes[index].readiness), readiness_path, relays_[index],
            peers_[index], fmt::join(seeds_, "\", \""),
            format_address(nodes[index].store->address()),
            callers_[index].address().to_string(),
            options_.revocations > 0 ? "revocation_ms: 5000\n" : "",
            options_.descriptors > 0
                ? fmt::format("descriptors: {}\n", options_.descriptors)
                : "");
}

std::string soak_fleet::endpoint_name(std::size_t index) const
{
    return fmt::format("{}-{}-{}", endpoints[index].engine ? "engine" : "service", index,
                       endpoints[index].generation);
}

std::string soak_fleet::software_version(std::size_t index) const
{
    // Two versions serve side by side; a replaced endpoint may get the other one
    return (index + endpoints[index].generation) % 2 == 0 ? "v1" : "v2";
}

void soak_fleet::start_endpoint(std::size_t index)
{
    platform::standin_deployment const deployment;
    auto& endpoint = endpoints[index];
    ++endpoint.generation;
    auto const name = endpoint_name(index);
    std::vector<std::string> arguments{"users-endpoint",
                                       "--id",
                                       name,
                                       "--service",
                                       endpoint.engine ? deployment.model_service
                                                       : deployment.plain_service,
                                       "--zone",
                                       std::string(zones.at(index % zones.size())),
                                       "--store",
                                       store->address_text(),
                                       "--software",
                                       software_version(index),
                                       "--records",
                                       (options_.folder / (name + ".records")).string()};
    if (endpoint.engine)
        arguments.insert(arguments.end(), {"--model", deployment.model_service});
    if (endpoint.engine && !options_.crashing_part.empty())
        arguments.insert(arguments.end(), {"--crashing-part", options_.crashing_part});
    endpoint.process = std::make_unique<child_process>(
        "marjorampath-standin", arguments, (options_.folder / (name + ".log")).string());
    endpoint.link->set_target(endpoint.process->address());
    auto const body = boost::json::serialize(
        boost::json::object{{"address", format_address(endpoint.link->address())}});
    call(endpoint.process->address(), "POST", "/standin/set", body);
}

void soak_fleet::start_node(std::size_t index)
{
    nodes[index].process = std::make_unique<child_process>(
        "marjorampath-entry",
        std::vector<std::string>{"--settings", nodes[index].settings},
        (options_.folder / fmt::format("node-{}.log", index)).string(), callers_[index]);
}

std::vector<std::size_t> soak_fleet::crashed_endpoints()
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        auto& process = *endpoints[index].process;
        if (process.running() && process.wait(std::chrono::milliseconds(0)))
            found.push_back(index);
    }
    return found;
}

void soak_fleet::drain_endpoint(std::size_t index)
{
    call(endpoints[index].process->address(), "POST", "/standin/set",
         "{\"draining\": true}");
}

void soak_fleet::limit_endpoint(std::size_t index, std::optional<double> rate)
{
    // A paused process does not answer; the fault that paused it is over then
    endpoints[index].process->signal(SIGCONT);
    boost::json::object values{{"rate_limit", nullptr}};
    if (rate)
        values["rate_limit"] = *rate;
    call(endpoints[index].process->address(), "POST", "/standin/set",
         boost::json::serialize(values));
}

void soak_fleet::cut_node(std::size_t index, cut_kind kind)
{
    for (auto const& endpoint : endpoints)
        endpoint.link->set_cut(callers_[index].address(), kind);
}

std::vector<std::size_t> soak_fleet::nodes_of_zone(std::size_t zone) const
{
    std::vector<std::size_t> found;
    for (auto index = zone % zones.size(); index < nodes.size(); index += zones.size())
        found.push_back(index);
    return found;
}

void soak_fleet::put(std::string const& key, std::string const& value) const
{
    auto const answer = call(store->address(), "PUT", "/standin/put?key=" + key, value);
    if (answer.status != 200)
        throw std::runtime_error("the store did not accept " + key);
}

std::uint64_t soak_fleet::announce_version(std::string const& adapter)
{
    platform::standin_deployment const deployment;
    auto& version = versions_.try_emplace(adapter, 1).first->second;
    ++version;
    put(platform::version_key(deployment.model_service, adapter),
        platform::version_document(deployment.model_service, adapter, version));
    return version;
}

std::uint64_t soak_fleet::publish_configuration(std::size_t added_routes)
{
    added_routes_ += added_routes;
    ++configuration_;
    put(std::string(platform::configuration_key),
        platform::configuration_document(deployment()));
    return configuration_;
}

platform::standin_deployment soak_fleet::deployment() const
{
    platform::standin_deployment published{.version = configuration_,
                                           .added_routes = added_routes_};
    if (options_.revocations == 0)
        return published;
    published.organisations = {
        {.name = std::string(staying_organisation), .key = key_of(staying_organisation)}};
    for (std::size_t index = 0; index < options_.revocations; ++index)
    {
        auto const name = leaving_organisation(index);
        published.organisations->push_back(
            {.name = name, .key = index < revoked_ ? "" : key_of(name)});
    }
    return published;
}

std::string soak_fleet::revoke_key()
{
    if (revoked_ >= options_.revocations)
        return {};
    auto organisation = leaving_organisation(revoked_++);
    publish_configuration();
    return organisation;
}

bool soak_fleet::has_added_routes(std::size_t index) const
{
    constexpr unsigned not_found = 404;
    platform::standin_deployment const deployment{.added_routes = added_routes_};
    auto const path = platform::added_route_prefix(added_routes_ - 1) + "probe";
    return call(callers_[index], "GET", path, {},
                {{"Host", deployment.host},
                 {"X-Attempt-Id", fmt::format("probe-{}-{}", configuration_, index)},
                 {"X-Deadline-Ms", "1000"}})
               .status != not_found;
}

void soak_fleet::delay_store(std::chrono::milliseconds delay) const
{
    auto const path = fmt::format("/standin/delay?ms={}", delay.count());
    if (call(store->address(), "PUT", path).status != 200)
        throw std::runtime_error("the store did not accept a delay");
}

void soak_fleet::copy_store() const
{
    if (call(store->address(), "PUT", "/standin/copy").status != 200)
        throw std::runtime_error("the store did not take a copy");

    // More than are made in the restored store while a seed runs
    constexpr int lost_changes = 500;
    for (int change = 0; change < lost_changes; ++change)
        put(fmt::format("other/{}", change), "lost");
}

void soak_fleet::restore_store() const
{
    if (call(store->address(), "PUT", "/standin/restore").status != 200)
        throw std::runtime_error("the store did not return to its copy");
}

void soak_fleet::rewrite_operator_data() const
{
    auto const published = deployment();
    put(std::string(platform::configuration_key),
        platform::configuration_document(published));
    for (auto const& [adapter, version] : versions_)
        put(platform::version_key(published.model_service, adapter),
            platform::version_document(published.model_service, adapter, version));
}

bool soak_fleet::is_ready(std::size_t index) const
{
    return call(nodes[index].readiness, "GET", readiness_path).status == 200;
}

std::vector<fault_proxy*> soak_fleet::links() const
{
    std::vector<fault_proxy*> all;
    for (auto const& node : nodes)
    {
        all.push_back(node.callers.get());
        all.push_back(node.store.get());
    }
    for (auto const& endpoint : endpoints)
        all.push_back(endpoint.link.get());
    return all;
}

void soak_fleet::clear_faults()
{
    for (auto* link : links())
        link->set_state(link_state::open);
    store->signal(SIGCONT);
    for (auto const& node : nodes)
        node.process->signal(SIGCONT);
    for (auto const& endpoint : endpoints)
        endpoint.process->signal(SIGCONT);
}

std::vector<std::string> soak_fleet::records() const
{
    std::vector<std::string> lines;
    for (auto const& file : std::filesystem::directory_iterator(options_.folder))
    {
        if (file.path().extension() != ".records")
            continue;
        std::ifstream stream(file.path());
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
    }
    return lines;
}

} // namespace marjorampath::test
