#pragma once

#include <tests/process/child_process.hpp>
#include <tests/process/order_proxy.hpp>
#include <tests/process/peer_network.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <platform/standin/operator_documents.hpp>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace marjorampath::test
{

/// Entry nodes that can be cut off from each other, before a store and engines of one
/// model service, each in a process of its own on loopback. Callers ask all nodes for
/// more adapters than the engines have slots for.
class cut_fleet
{
public:
    /// How to construct a cut_fleet.
    struct options
    {
        std::size_t nodes = 9;
        std::size_t engines = 3;
        std::size_t adapters = 24;
        std::uint32_t seed = 1;
    };

    /// Starts all processes and waits until each node is ready. Throws
    /// std::runtime_error otherwise.
    explicit cut_fleet(options const& values);

    /// Kills the processes and removes the folder.
    ~cut_fleet();

    cut_fleet(cut_fleet const&) = delete;
    cut_fleet& operator=(cut_fleet const&) = delete;

    /// Cuts nodes off from the others; none ends the cut.
    void cut(std::set<std::size_t> const& nodes)
    {
        network_.cut(nodes);
    }

    /// Kills all nodes at once but some, and starts them again.
    void restart_all_but(std::set<std::size_t> const& nodes);

    /// Pauses or resumes a node.
    void pause_node(std::size_t node, bool paused);

    /// The link to an engine, over which all nodes reach it.
    order_proxy& link(std::size_t engine)
    {
        return *links_[engine];
    }

    /// The node whose order an engine received last; empty if it received none.
    [[nodiscard]] std::optional<std::size_t> holder_of(std::size_t engine) const;

    /// Shortest time between two orders of different nodes to one engine.
    [[nodiscard]] std::chrono::milliseconds shortest_turn() const;

    /// Number of records of all engines that hold a text.
    [[nodiscard]] std::size_t count_records(std::string_view text) const;

    /// Number of streams that were answered whole.
    [[nodiscard]] std::size_t served() const
    {
        return served_;
    }

private:
    // An order that an engine received
    struct order
    {
        std::chrono::milliseconds at;
        std::string holder;
    };

    // The orders that an engine received, the first one first
    [[nodiscard]] std::vector<order> orders_of(std::size_t engine) const;
    [[nodiscard]] std::string file(std::string const& name) const;
    void write_settings(std::size_t node) const;
    void start_engine(std::size_t engine);
    void start_node(std::size_t node);
    [[nodiscard]] bool is_ready(std::size_t node) const;
    // Sends one stream after the other to a node
    void call_node(std::size_t node);

    options options_;
    std::uint16_t peers_port_;
    std::uint16_t tcp_port_;
    std::uint16_t readiness_port_;
    std::uint16_t relay_port_;
    peer_network network_;
    std::filesystem::path folder_;
    std::unique_ptr<child_process> store_;
    std::vector<std::unique_ptr<child_process>> engines_;
    std::vector<std::unique_ptr<order_proxy>> links_;
    std::vector<std::unique_ptr<child_process>> nodes_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> served_ = 0;
    std::vector<std::thread> callers_;
};

} // namespace marjorampath::test
