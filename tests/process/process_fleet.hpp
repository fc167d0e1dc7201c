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

/// The stand-ins of the platform, engines, a plain service and nodes, each in a process
/// of its own on loopback.
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
        /// Command-line arguments of each engine.
        std::vector<std::string> engine_arguments{"--token-ms", "2", "--dead-ms", "300"};
        /// Command-line arguments of the weight store.
        std::vector<std::string> store_arguments{"--load-ms", "20"};
        /// Whether the nodes form one fleet, each in a zone of its own.
        bool joined = false;
        /// Lines added to the settings file of each node.
        std::string node_settings;
    };

    /// Starts all processes and waits until each node is ready and serves the plain
    /// service. Throws std::runtime_error otherwise.
    explicit process_fleet(options const& values);

    /// Stops the nodes as `stop_nodes` does, kills the other processes and removes the
    /// folder unless the environment sets MARJORAMPATH_KEEP_LOGS.
    ~process_fleet();

    process_fleet(process_fleet const&) = delete;
    process_fleet& operator=(process_fleet const&) = delete;

    /// Returns a node.
    child_process& node(std::size_t index = 0)
    {
        return *nodes_.at(index);
    }

    /// Returns an engine.
    child_process& engine(std::size_t index)
    {
        return *engines_.at(index);
    }

    /// Returns the plain service.
    child_process& service()
    {
        return *service_;
    }

    /// Returns the configuration service.
    child_process& configuration()
    {
        return *configuration_;
    }

    /// Starts one more node; `added_settings` are appended to its settings file.
    void start_node(std::string const& added_settings);

    /// Sends SIGTERM to all nodes and checks that they exit with status 0, except for
    /// those that were killed. The destructor calls it too.
    void stop_nodes();

    /// Returns the log of a node.
    [[nodiscard]] std::string node_log(std::size_t index) const;

    /// Publishes a sheet in which all adapters have the same version; `added_adapters`
    /// are lines appended to its table of adapters.
    void publish_sheet(std::uint64_t number, std::string const& version,
                       std::string const& added_adapters = {});

    /// Publishes the host list; `leaving` names the endpoint to list as leaving.
    void publish_hosts(std::string_view leaving = {});

    /// Sends a completion request to a node and waits for its answer.
    test_answer complete(std::string_view adapter, std::string_view prompt,
                         std::uint32_t tokens, bool streamed, std::size_t node_index = 0);

    /// Sets fault switches of a stand-in; `values` is a JSON object.
    static void set(child_process const& target, std::string const& values);

    /// Returns all records of a stand-in.
    static std::vector<boost::json::object> records(child_process const& target);

    /// Returns the records of all engines in which `member` has the value `value`.
    std::vector<boost::json::object> engine_records(std::string_view member,
                                                    std::string_view value);

private:
    // Returns the path of a file in the fleet's folder
    std::string file(std::string const& name) const;

    // Starts one more stand-in
    std::unique_ptr<child_process> start_standin(std::string const& kind,
                                                 std::vector<std::string> arguments);

    // Returns the settings that join the nodes into one fleet
    static std::string join_settings(std::size_t nodes);

    // Temporary folder for settings, sheets and logs
    std::filesystem::path folder_;
    // Stand-ins of the platform
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
