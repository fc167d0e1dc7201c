#pragma once

#include <tests/process/child_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::test
{

/// The stand-ins of the platform, engines, a plain service and nodes, as processes of
/// their own on loopback.
class process_fleet
{
public:
    /// How to construct a process_fleet.
    struct options
    {
        /// Number of nodes.
        std::size_t nodes = 1;
        /// Number of engines.
        std::size_t engines = 2;
        /// Arguments of each engine.
        std::vector<std::string> engine_arguments{"--token-ms", "2", "--dead-ms", "300"};
        /// Arguments of the weight store.
        std::vector<std::string> store_arguments{"--load-ms", "20"};
        /// Whether the nodes act together, each in a zone of its own.
        bool joined = false;
        /// Lines that each node's settings have besides.
        std::string node_settings;
    };

    /// Starts everything and waits until each node is ready and has seen all endpoints.
    explicit process_fleet(options const& values);

    /// Kills the processes, by number, and removes the folder.
    ~process_fleet();

    process_fleet(process_fleet const&) = delete;
    process_fleet& operator=(process_fleet const&) = delete;

    /// A node.
    child_process& node(std::size_t index = 0)
    {
        return *nodes_.at(index);
    }

    /// An engine.
    child_process& engine(std::size_t index)
    {
        return *engines_.at(index);
    }

    /// The plain service.
    child_process& service()
    {
        return *service_;
    }

    /// The configuration service.
    child_process& configuration()
    {
        return *configuration_;
    }

    /// Starts one more node; `added_settings` are lines of its settings file.
    void start_node(std::string const& added_settings);

    /// Tells all nodes to stop and checks how they end: with status 0, but for those that
    /// were killed. Done for each fleet at its end.
    void stop_nodes();

    /// What a node has logged.
    [[nodiscard]] std::string node_log(std::size_t index) const;

    /// Publishes a sheet in which all adapters have the same version, with lines added to
    /// the table of adapters.
    void publish_sheet(std::uint64_t number, std::string const& version,
                       std::string const& added_adapters = {});

    /// Publishes the host list; `leaving` names a host that leaves.
    void publish_hosts(std::string_view leaving = {});

    /// Sends a completion to a node.
    test_answer complete(std::string_view adapter, std::string_view prompt,
                         std::uint32_t tokens, bool streamed, std::size_t node_index = 0);

    /// Flips switches of a stand-in; `values` is JSON.
    static void set(child_process const& target, std::string const& values);

    /// Everything that a stand-in has recorded.
    static std::vector<boost::json::object> records(child_process const& target);

    /// The records of all engines that have a member of this value.
    std::vector<boost::json::object> engine_records(std::string_view member,
                                                    std::string_view value);

private:
    // A path in the fleet's folder
    std::string file(std::string const& name) const;

    // Starts one more stand-in
    std::unique_ptr<child_process> start_standin(std::string const& kind,
                                                 std::vector<std::string> arguments);

    // Settings that join the nodes
    static std::string join_settings(std::size_t nodes);

    // Folder for settings, sheets and logs
    std::filesystem::path folder_;
    // The platform
    std::unique_ptr<child_process> store_;
    std::unique_ptr<child_process> configuration_;
    std::unique_ptr<child_process> hosts_;
    // Endpoints
    std::vector<std::unique_ptr<child_process>> engines_;
    std::unique_ptr<child_process> service_;
    // Nodes
    std::vector<std::unique_ptr<child_process>> nodes_;
};

} // namespace marjorampath::test
