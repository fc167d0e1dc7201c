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

/// Settings for connecting a node to the fleet.
struct node_fleet_settings
{
    /// Address that other hosts connect to; not set for a node that runs alone.
    std::optional<boost::asio::ip::tcp::endpoint> address;
    /// Zones of the region; must be equal on all hosts.
    std::vector<std::string> zones;
    /// Lease witnesses per zone; must be equal on all hosts.
    std::uint32_t witnesses_per_zone = 1;
    /// Files for mutual TLS between hosts; empty names on a closed network without TLS.
    tls_files files;
    /// Created from the files when the settings are checked; null without TLS.
    std::shared_ptr<boost::asio::ssl::context> tls;
};

/// The settings of one node, as read from its YAML file.
struct node_settings
{
    /// Name of this host, as in the host list.
    std::string host;
    /// Availability zone of this host.
    std::string zone;
    /// Region of this host.
    std::string region;
    /// Address that callers connect to.
    boost::asio::ip::tcp::endpoint callers;
    /// Number of traffic threads.
    std::uint32_t traffic_threads = 2;
    /// Address of the configuration service.
    boost::asio::ip::tcp::endpoint configuration_service;
    /// Address of the host list service.
    boost::asio::ip::tcp::endpoint host_list;
    /// Time between two reads of the host list.
    std::chrono::milliseconds host_list_interval{1'000};
    /// Time between two reads of an engine's load.
    std::chrono::milliseconds load_interval{1'000};
    /// Time for which a host that shuts down still accepts new callers.
    std::chrono::milliseconds shutdown_notice{10'000};
    /// Prefix of an adapter's path in the weight store, before `ADAPTER@VERSION`.
    std::string adapter_path = "/adapters/";
    /// Limits on requests and connections of callers.
    caller_limits limits;
    /// Memory of the machine that the process may use, in MiB. A part of it bounds what
    /// the traffic threads hold for callers, each an equal share.
    std::uint32_t memory_mb = 4'096;
    /// File descriptors of the process, divided in the same way.
    std::uint32_t descriptors = 65'536;
    /// Limits on the idle connections of one traffic thread.
    connection_pool_options connections;
    /// Scheduling policy of the cells.
    cell_options policy;
    /// Connection to the fleet.
    node_fleet_settings fleet;
};

} // namespace marjorampath::serving
