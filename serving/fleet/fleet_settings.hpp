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

/// Settings of a host as a member of the fleet.
struct fleet_settings
{
    /// Name of this host.
    std::string host;
    /// Zone of this host.
    std::string zone;
    /// Region of this host.
    std::string region;
    /// Address to listen on for other hosts.
    boost::asio::ip::tcp::endpoint address;
    /// Names of the region's zones; the same on all hosts.
    std::vector<std::string> zones;
    /// Number of lease witnesses in each zone; the same on all hosts.
    std::uint32_t witnesses_per_zone = 1;
    /// Longest time that a granted request may run.
    std::chrono::milliseconds longest_deadline{600'000};
    /// TLS with the certificate of this host; null for connections without TLS.
    std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
};

} // namespace marjorampath::serving
