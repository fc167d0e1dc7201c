#pragma once

#include <tests/process/child_process.hpp>
#include <tests/soak/fault_proxy.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <platform/standin/operator_documents.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::test
{

/// Name of an organisation whose key is revoked in a soak; its key is the name with a
/// suffix.
std::string leaving_organisation(std::size_t index);
/// Name of the organisation whose key is never revoked.
inline constexpr std::string_view staying_organisation = "staying";
/// Key of an organisation.
std::string key_of(std::string_view organisation);

/// Entry nodes, a store, engines and plain services as processes on loopback, with a
/// fault proxy on each TCP link.
class soak_fleet
{
public:
    /// How to construct a soak_fleet.
    struct options
    {
        /// Number of entry nodes; five vote on leases.
        std::size_t nodes = 5;
        /// Number of engines.
        std::size_t engines = 4;
        /// Number of plain services.
        std::size_t services = 2;
        /// Bytes per second of the links between nodes and from the store to each node;
        /// zero for no limit.
        std::uint32_t link_rate = 0;
        /// Number of organisations whose keys will be revoked, beside one whose key
        /// stays; zero for a deployment without organisations.
        std::size_t revocations = 0;
        /// Part of a prompt that crashes engines; empty for none.
        std::string crashing_part;
        /// File descriptors of each node; zero for the default.
        std::uint32_t descriptors = 0;
        /// Folder for settings, logs and records.
        std::filesystem::path folder;
    };

    /// An endpoint of the fleet; its process may be replaced by another.
    struct fleet_endpoint
    {
        // Engine or plain service
        bool engine = false;
        // Part of the process name; rises when a process is replaced and when one starts
        std::size_t generation = 0;
        std::unique_ptr<fault_proxy> link;
        std::unique_ptr<child_process> process;
    };

    /// An entry node of the fleet with its links.
    struct fleet_node
    {
        std::string settings;
        boost::asio::ip::tcp::endpoint readiness;
        std::unique_ptr<fault_proxy> callers;
        std::unique_ptr<fault_proxy> store;
        // Link from other nodes that read this node's copy of the store
        std::unique_ptr<fault_proxy> relay;
        std::unique_ptr<child_process> process;
    };

    /// Starts all processes and publishes the configuration. Proxies run on `context`,
    /// which another thread must run.
    soak_fleet(boost::asio::io_context& context, options const& values);

    /// Starts a new process for an endpoint, under a new name.
    void start_endpoint(std::size_t index);
    /// Starts a new process for a node, with the same settings.
    void start_node(std::size_t index);
    /// Returns the endpoints whose processes have ended by themselves since the last
    /// call.
    std::vector<std::size_t> crashed_endpoints();
    /// Makes an endpoint announce that it leaves.
    void drain_endpoint(std::size_t index);
    /// Makes an endpoint name a limit on its request rate, or none any more.
    void limit_endpoint(std::size_t index, std::optional<double> rate);
    /// Cuts a node from all endpoints, or ends the cut.
    void cut_node(std::size_t index, cut_kind kind);
    /// Nodes of a zone.
    [[nodiscard]] std::vector<std::size_t> nodes_of_zone(std::size_t zone) const;
    /// Announces the next version of an adapter and returns its number.
    std::uint64_t announce_version(std::string const& adapter);
    /// Publishes the configuration under its next version, with more routes than before;
    /// returns the version.
    std::uint64_t publish_configuration(std::size_t added_routes = 0);
    /// Whether the configuration in force at a node has the routes that were added last.
    /// True if the node does not answer.
    [[nodiscard]] bool has_added_routes(std::size_t index) const;
    /// Revokes the key of the next organisation; returns its name, or an empty one if
    /// none is left.
    std::string revoke_key();
    /// Makes the store hold each answer to a read back for a time.
    void delay_store(std::chrono::milliseconds delay) const;

    /// Takes a copy of the store, and makes changes that it lacks.
    void copy_store() const;
    /// Returns the store to the copy.
    void restore_store() const;

    /// Writes again what the operator wrote last.
    void rewrite_operator_data() const;

    /// Name in the store of an endpoint's current process.
    [[nodiscard]] std::string endpoint_name(std::size_t index) const;
    /// Whether a node's readiness probe succeeds.
    [[nodiscard]] bool is_ready(std::size_t index) const;
    /// Opens all links and resumes all paused processes.
    void clear_faults();
    /// Lines of the record files of all endpoints.
    [[nodiscard]] std::vector<std::string> records() const;

    /// All links: for each node those to its callers and to the store, then those to the
    /// endpoints.
    [[nodiscard]] std::vector<fault_proxy*> links() const;

    std::vector<fleet_node> nodes;
    std::vector<fleet_endpoint> endpoints;
    std::unique_ptr<child_process> store;

private:
    void prepare_node(std::size_t index);
    // Software version of an endpoint's current process
    [[nodiscard]] std::string software_version(std::size_t index) const;
    void write_settings() const;
    // The deployment that the operator published last
    [[nodiscard]] platform::standin_deployment deployment() const;
    // Writes an item to the store
    void put(std::string const& key, std::string const& value) const;

    boost::asio::io_context& context_;
    options options_;
    std::uint64_t configuration_ = 0;
    // Routes of the configuration beyond the usual ones
    std::size_t added_routes_ = 0;
    // Organisations whose keys are revoked
    std::size_t revoked_ = 0;
    std::map<std::string, std::uint64_t> versions_;
    // Ports of all nodes: readiness, callers, relay, peers
    std::array<std::uint16_t, 4> ports_{};
    // Addresses by node: relay, seed, peers and callers
    std::vector<std::string> relays_;
    std::vector<std::string> seeds_;
    std::vector<std::string> peers_;
    std::vector<boost::asio::ip::tcp::endpoint> callers_;
};

} // namespace marjorampath::test
