#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::serving
{

/// What a host of the host list does.
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
    /// The host takes work.
    live,
    /// The host is leaving and gets no new work.
    leaving
};

/// One host as the host list shows it.
struct host_entry
{
    /// Unique name.
    std::string name;
    /// What the host does.
    host_role role = host_role::endpoint;
    /// Name of the endpoint kind; empty for entry hosts.
    std::string kind;
    /// Address of the endpoint or of the node port.
    boost::asio::ip::tcp::endpoint address;
    /// Availability zone.
    std::string zone;
    /// Region.
    std::string region;
    /// Whether the host may get new work.
    host_state state = host_state::live;

    /// Whether two entries are the same in every field.
    friend bool operator==(host_entry const&, host_entry const&) = default;
};

/// Reads the JSON text of a host list, or nothing where any entry is malformed.
std::optional<std::vector<host_entry>> parse_host_list(std::string_view text);

/// Reads `IP:PORT`, or nothing where the text is malformed.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

/// An address as `IP:PORT`.
std::string format_address(boost::asio::ip::tcp::endpoint const& address);

} // namespace marjorampath::serving
