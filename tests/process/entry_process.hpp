#pragma once

#include <tests/process/child_process.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <platform/standin/operator_documents.hpp>
#include <string>

namespace marjorampath::test
{

/// An entry node of the users' platform before a store and one endpoint of a plain
/// service, each in a process of its own on loopback.
class entry_process
{
public:
    /// How to construct an entry_process.
    struct options
    {
        /// Time that the endpoint takes for a request.
        std::chrono::milliseconds work_time{10};
        /// Grace period of the node.
        std::chrono::seconds grace{4};
        /// Least size of an answer of the endpoint, in bytes.
        std::size_t plain_body_bytes = 800;
        /// Requests that the endpoint runs at once.
        std::uint32_t endpoint_slots = 16;
        /// Configuration that the operator published first.
        platform::standin_deployment deployment;
        /// Lines added to the node's settings file.
        std::string node_settings;
    };

    /// Starts all processes and waits until the node is ready. Throws std::runtime_error
    /// otherwise.
    explicit entry_process(options const& values);

    /// Kills the processes and removes the folder.
    ~entry_process();

    entry_process(entry_process const&) = delete;
    entry_process& operator=(entry_process const&) = delete;

    /// The node.
    child_process& node()
    {
        return *node_;
    }

    /// Address at which other hosts pass requests on to the node.
    [[nodiscard]] boost::asio::ip::tcp::endpoint forwards() const
    {
        return forwards_;
    }

    /// Address of the store.
    [[nodiscard]] boost::asio::ip::tcp::endpoint store() const
    {
        return store_->address();
    }

    /// Kills the node and starts it again with the same settings and addresses.
    void restart_node();

    /// Whether the node becomes ready within 10 s.
    [[nodiscard]] bool becomes_ready() const;

    /// Pauses or resumes the store.
    void pause_store(bool paused);

    /// Publishes a configuration.
    void publish(platform::standin_deployment const& deployment) const;

    /// Lines of the endpoint's records.
    [[nodiscard]] std::string records() const;

    /// The node's log.
    [[nodiscard]] std::string node_log() const;

    /// Address of the endpoint.
    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const
    {
        return endpoint_->address();
    }

    /// Whether the node's log has a text.
    [[nodiscard]] bool has_logged(std::string const& text) const;

    /// Whether the endpoint began to run a request.
    [[nodiscard]] bool has_run(std::string const& attempt) const;

    /// Whether the node takes connections of callers.
    [[nodiscard]] bool takes_callers() const;

private:
    // Returns the path of a file in the folder
    [[nodiscard]] std::string file(std::string const& name) const;

    void start_endpoint(options const& values);
    void write_settings(options const& values);
    void start_node();

    std::filesystem::path folder_;
    std::unique_ptr<child_process> store_;
    std::unique_ptr<child_process> endpoint_;
    std::unique_ptr<child_process> node_;
    boost::asio::ip::tcp::endpoint callers_;
    boost::asio::ip::tcp::endpoint forwards_;
    boost::asio::ip::tcp::endpoint readiness_;
};

} // namespace marjorampath::test
