#pragma once

#include <tests/process/child_process.hpp>
#include <tests/soak/fault_proxy.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::test
{

/// Entry nodes, a store, engines and plain services as processes on loopback, with a
/// proxy on each link that carries TCP.
class soak_fleet
{
public:
    /// How to construct a soak_fleet.
    struct options
    {
        /// Entry nodes; five vote on leases.
        std::size_t nodes = 5;
        /// Engines.
        std::size_t engines = 4;
        /// Plain services.
        std::size_t services = 2;
        /// Folder for settings, logs and records.
        std::filesystem::path folder;
    };

    /// An endpoint's place; it is taken by one process after another.
    struct fleet_endpoint
    {
        // Whether it is an engine
        bool engine = false;
        // Number of processes so far
        std::size_t started = 0;
        std::unique_ptr<fault_proxy> link;
        std::unique_ptr<child_process> process;
    };

    /// A node's place.
    struct fleet_node
    {
        std::string settings;
        boost::asio::ip::tcp::endpoint readiness;
        std::unique_ptr<fault_proxy> callers;
        std::unique_ptr<fault_proxy> store;
        std::unique_ptr<child_process> process;
    };

    /// Starts everything and publishes the configuration. Proxies run on `context`, which
    /// another thread runs.
    soak_fleet(boost::asio::io_context& context, options const& values);

    /// Starts the process of an endpoint's place under a new name.
    void start_endpoint(std::size_t index);
    /// Starts the process of a node's place.
    void start_node(std::size_t index);
    /// Tells an endpoint that it leaves.
    void drain_endpoint(std::size_t index);
    /// Announces the next version of an adapter; its number.
    std::uint64_t announce_version(std::string const& adapter);
    /// Publishes the configuration under its next version.
    void publish_configuration();

    /// Name in the store of an endpoint's present process.
    [[nodiscard]] std::string endpoint_name(std::size_t index) const;
    /// Whether a node says that it takes callers.
    [[nodiscard]] bool is_ready(std::size_t index) const;
    /// Opens all links and lets all paused processes go on.
    void heal();
    /// Lines of all records of endpoints.
    [[nodiscard]] std::vector<std::string> records() const;

    /// All links: of each node those of its callers and of the store, then the
    /// endpoints'.
    [[nodiscard]] std::vector<fault_proxy*> links() const;

    std::vector<fleet_node> nodes;
    std::vector<fleet_endpoint> endpoints;
    std::unique_ptr<child_process> store;

private:
    void prepare_node(std::size_t index);
    void write_settings() const;
    // Writes an item of the store
    void put(std::string const& key, std::string const& value) const;

    boost::asio::io_context& context_;
    options options_;
    std::uint64_t configuration_ = 0;
    std::map<std::string, std::uint64_t> versions_;
    // Ports of all nodes: readiness, callers, relay, peers
    std::array<std::uint16_t, 4> ports_{};
    // Of each node: relay and peer addresses
    std::vector<std::string> relays_;
    std::vector<std::string> peers_;
    std::vector<boost::asio::ip::tcp::endpoint> callers_;
};

} // namespace marjorampath::test
