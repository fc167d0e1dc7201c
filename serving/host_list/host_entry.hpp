#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::serving
{

/// Role of a host in the host list.
enum class host_role
{
    /// Runs a node of this system.
    entry,
    /// Runs a model engine or a plain service.
    endpoint
};

/// Whether a host may get new work.
enum class host_state
{
    /// The host accepts new work.
    live,
    /// The host is leaving and gets no new work.
    leaving
};

/// One host in the host list.
struct host_entry
{
    /// Unique name.
    std::string name;
    /// Role of the host.
    host_role role = host_role::endpoint;
    /// Name of the endpoint kind; empty for entry hosts.
    std::string kind;
    /// Address of an endpoint, or of the node port of an entry host.
    boost::asio::ip::tcp::endpoint address;
    /// Availability zone.
    std::string zone;
    /// Region.
    std::string region;
    /// Whether the host may get new work.
    host_state state = host_state::live;

    /// Whether two entries are equal in every field.
    friend bool operator==(host_entry const&, host_entry const&) = default;
};

/// Parses the JSON text of a host list; returns nothing if any entry is malformed or a
/// name occurs twice.
std::optional<std::vector<host_entry>> parse_host_list(std::string_view text);

/// Parses `IP:PORT` with a port above zero; returns nothing if the text is malformed. An
/// IPv6 address may be enclosed in brackets.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

/// Formats an address as `IP:PORT`.
std::string format_address(boost::asio::ip::tcp::endpoint const& address);

} // namespace marjorampath::serving
