#pragma once

#include <serving/link/tls_context.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace marjorampath::serving
{

/// The settings of a host's part in the fleet.
struct fleet_settings
{
    /// Name of this host.
    std::string host;
    /// Zone of this host.
    std::string zone;
    /// Region of this host.
    std::string region;
    /// Where other hosts connect.
    boost::asio::ip::tcp::endpoint address;
    /// Zones of the region; equal on all hosts.
    std::vector<std::string> zones;
    /// Witnesses of leases in each zone; equal on all hosts.
    std::uint32_t witnesses_per_zone = 1;
    /// Longest time for which a granted request may run.
    std::chrono::milliseconds longest_deadline{600'000};
    /// TLS with the certificate of this host; null for connections without TLS.
    std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
};

} // namespace marjorampath::serving
