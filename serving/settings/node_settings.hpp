#pragma once

#include <marjorampath/cell/cell_options.hpp>
#include <serving/endpoint/connection_pool.hpp>
#include <serving/link/tls_context.hpp>
#include <serving/node/traffic_context.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath::serving
{

/// The settings of a node's part in the fleet.
struct node_fleet_settings
{
    /// Where other hosts connect; nothing for a node that runs alone.
    std::optional<boost::asio::ip::tcp::endpoint> address;
    /// Zones of the region; equal on all hosts.
    std::vector<std::string> zones;
    /// Witnesses of leases in each zone; equal on all hosts.
    std::uint32_t witnesses_per_zone = 1;
    /// Files of mutual TLS between hosts; empty names for a closed network.
    tls_files files;
    /// Made of the files when the settings are checked; null without TLS.
    std::shared_ptr<boost::asio::ssl::context> tls;
};

/// The settings of one node, as its YAML file has them.
struct node_settings
{
    /// Name of this host, as in the host list.
    std::string host;
    /// Availability zone of this host.
    std::string zone;
    /// Region of this host.
    std::string region;
    /// Where callers connect.
    boost::asio::ip::tcp::endpoint callers;
    /// Number of traffic threads.
    std::uint32_t traffic_threads = 2;
    /// The configuration service.
    boost::asio::ip::tcp::endpoint configuration_service;
    /// The host list.
    boost::asio::ip::tcp::endpoint host_list;
    /// Time between two reads of the host list.
    std::chrono::milliseconds host_list_interval{1'000};
    /// Time between two reads of an engine's load.
    std::chrono::milliseconds load_interval{1'000};
    /// Time for which a host that shuts down still takes new callers.
    std::chrono::milliseconds shutdown_notice{10'000};
    /// What comes before `ADAPTER@VERSION` in an adapter's path in the weight store.
    std::string adapter_path = "/adapters/";
    /// Bounds of what callers may send.
    caller_limits limits;
    /// Bounds of the kept connections of one traffic thread.
    connection_pool_options connections;
    /// Policy of the cells.
    cell_options policy;
    /// Part in the fleet.
    node_fleet_settings fleet;
};

} // namespace marjorampath::serving
