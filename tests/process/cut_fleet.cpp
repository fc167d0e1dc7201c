#include <serving/host_list/host_entry.hpp>
#include <tests/process/cut_fleet.hpp>
#include <tests/process/test_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <platform/store_codec.hpp>
#include <random>
#include <stdexcept>

namespace marjorampath::test
{

namespace
{

using tcp = boost::asio::ip::tcp;
using serving::format_address;
using namespace std::chrono_literals;

constexpr std::size_t zones = 3;

// Returns a port that is unused at the time of the call
std::uint16_t free_port()
{
    boost::asio::io_context context;
    tcp::acceptor const acceptor(context, {peer_network::own_address(0), 0});
    return acceptor.local_endpoint().port();
}

std::filesystem::path make_folder()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "marjorampath-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create " + pattern);
    return pattern;
}

} // namespace

cut_fleet::cut_fleet(options const& values)
    : options_(values), peers_port_(free_port()), tcp_port_(free_port()),
      readiness_port_(free_port()), relay_port_(free_port()),
      network_(values.nodes, peers_port_), folder_(make_folder()),
      engines_(values.engines), links_(values.engines), nodes_(values.nodes)
{
    store_ = std::make_unique<child_process>("marjorampath-standin",
                                             std::vector<std::string>{"users-store"},
                                             file("store.log"));
    call(store_->address(), "PUT",
         fmt::format("/standin/put?key={}", platform::configuration_key),
         platform::configuration_document({}));
    for (std::size_t engine = 0; engine < engines_.size(); ++engine)
        start_engine(engine);
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        write_settings(node);
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        start_node(node);
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        if (!eventually([&] { return is_ready(node); }))
            throw std::runtime_error(fmt::format("node {} did not become ready", node));
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        callers_.emplace_back([this, node] { call_node(node); });
}

cut_fleet::~cut_fleet()
{
    stopping_ = true;
    nodes_.clear();
    for (auto& caller : callers_)
        caller.join();
    engines_.clear();
    store_.reset();
    std::error_code ignored;
    if (!std::getenv("MARJORAMPATH_KEEP_LOGS"))
        std::filesystem::remove_all(folder_, ignored);
}

std::string cut_fleet::file(std::string const& name) const
{
    return (folder_ / name).string();
}

void cut_fleet::write_settings(std::size_t node) const
{
    std::vector<std::string> seeds;
    for (std::size_t other = 0; other < std::min<std::size_t>(3, nodes_.size()); ++other)
        seeds.push_back(
            format_address({peer_network::public_address(other), relay_port_}));
    auto const own = peer_network::own_address(node);
    std::ofstream(file(fmt::format("node-{}.yaml", node))) << fmt::format(
        "host: \"node-{}\"\nzone: \"zone-{}\"\ncallers: \"{}\"\nreadiness: \"{}\"\n"
        "readiness_path: \"/readyz\"\nrelay: \"{}\"\npeers: \"{}\"\nseeds: [\"{}\"]\n"
        "store: \"{}\"\noutgoing: \"{}\"\ngrace_s: 4\n",
        node, node % zones, format_address({own, tcp_port_}),
        format_address({own, readiness_port_}), format_address({own, relay_port_}),
        format_address({own, peers_port_}), fmt::join(seeds, "\", \""),
        store_->address_text(), own.to_string());
}

void cut_fleet::start_engine(std::size_t engine)
{
    platform::standin_deployment const deployment;
    auto const name = fmt::format("engine-{}", engine);
    std::vector<std::string> const arguments{"users-endpoint",
                                             "--id",
                                             name,
                                             "--service",
                                             deployment.model_service,
                                             "--zone",
                                             fmt::format("zone-{}", engine % zones),
                                             "--model",
                                             deployment.model_service,
                                             "--store",
                                             store_->address_text(),
                                             "--records",
                                             file(name + ".records")};
    auto& process = engines_[engine];
    process = std::make_unique<child_process>("marjorampath-standin", arguments,
                                              file(name + ".log"));
    links_[engine] = std::make_unique<order_proxy>(process->address());
    call(process->address(), "POST", "/standin/set",
         fmt::format(R"({{"address":"{}"}})", links_[engine]->address()));
}

void cut_fleet::start_node(std::size_t node)
{
    auto const name = fmt::format("node-{}", node);
    nodes_[node] = std::make_unique<child_process>(
        "marjorampath-entry",
        std::vector<std::string>{"--settings", file(name + ".yaml")}, file(name + ".log"),
        tcp::endpoint(peer_network::own_address(node), tcp_port_));
}

bool cut_fleet::is_ready(std::size_t node) const
{
    return call({peer_network::own_address(node), readiness_port_}, "GET", "/readyz")
               .status == 200;
}

void cut_fleet::restart_all_but(std::set<std::size_t> const& nodes)
{
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        if (!nodes.contains(node))
            nodes_[node]->signal(SIGKILL);
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        if (!nodes.contains(node))
        {
            nodes_[node].reset();
            start_node(node);
        }
}

void cut_fleet::pause_node(std::size_t node, bool paused)
{
    nodes_[node]->signal(paused ? SIGSTOP : SIGCONT);
}

std::size_t cut_fleet::count_records(std::string_view text) const
{
    std::size_t found = 0;
    for (std::size_t engine = 0; engine < engines_.size(); ++engine)
    {
        std::ifstream records(file(fmt::format("engine-{}.records", engine)));
        for (std::string line; std::getline(records, line);)
            found += line.find(text) != std::string::npos ? 1 : 0;
    }
    return found;
}

std::vector<cut_fleet::order> cut_fleet::orders_of(std::size_t engine) const
{
    std::vector<order> orders;
    std::ifstream records(file(fmt::format("engine-{}.records", engine)));
    for (std::string line; std::getline(records, line);)
    {
        // The last line may be half written
        boost::system::error_code partial;
        auto const record = boost::json::parse(line, partial);
        if (partial || record.at("event").as_string() != "order")
            continue;
        orders.push_back({.at = std::chrono::milliseconds(
                              record.at("at_ms").to_number<std::int64_t>()),
                          .holder = std::string(record.at("holder").as_string())});
    }
    return orders;
}

std::optional<std::size_t> cut_fleet::holder_of(std::size_t engine) const
{
    auto const orders = orders_of(engine);
    for (std::size_t node = 0; node < nodes_.size() && !orders.empty(); ++node)
        if (orders.back().holder == fmt::format("node-{}", node))
            return node;
    return std::nullopt;
}

std::chrono::milliseconds cut_fleet::shortest_turn() const
{
    auto shortest = std::chrono::milliseconds::max();
    for (std::size_t engine = 0; engine < engines_.size(); ++engine)
    {
        auto const orders = orders_of(engine);
        for (std::size_t index = 1; index < orders.size(); ++index)
            if (orders[index].holder != orders[index - 1].holder)
                shortest = std::min(shortest, orders[index].at - orders[index - 1].at);
    }
    return shortest;
}

void cut_fleet::call_node(std::size_t node)
{
    platform::standin_deployment const deployment;
    std::mt19937 random(options_.seed * 1'000 + static_cast<std::uint32_t>(node));
    tcp::endpoint const address(peer_network::own_address(node), tcp_port_);
    for (std::size_t attempt = 0; !stopping_; ++attempt)
    {
        // Low numbers are asked for most
        auto const adapter =
            std::min(random() % options_.adapters, random() % options_.adapters);
        try
        {
            auto const answer = call(
                address, "POST", deployment.streams + "x", "{}",
                {{"Host", deployment.host},
                 {"X-Attempt-Id", fmt::format("c{}-{}", node, attempt)},
                 {"X-Model", fmt::format("{}/a{}", deployment.model_service, adapter)},
                 {"X-Token-Count", "100,4"},
                 {"X-Prompt-Prefix", fmt::format("{:x}:100", random())},
                 {"X-Deadline-Ms", "1000"}});
            served_ += answer.status == 200 && answer.ended ? 1 : 0;
        }
        catch (boost::system::system_error const&)
        {
            // The node is being started again
            std::this_thread::yield();
        }
    }
}

} // namespace marjorampath::test
