#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>
#include <serving/settings/settings_file.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// The settings of an entry node, as its YAML file has them.
struct entry_settings
{
    /// Name of this host.
    std::string host;
    /// Availability zone of this host.
    std::string zone;
    /// Where callers connect.
    boost::asio::ip::tcp::endpoint callers;
    /// Where the balancer asks whether the host takes callers.
    boost::asio::ip::tcp::endpoint readiness;
    /// Path of that question.
    std::string readiness_path;
    /// Where other hosts read what this one knows of the store.
    boost::asio::ip::tcp::endpoint relay;
    /// Where metrics are read; nothing for nowhere.
    std::optional<boost::asio::ip::tcp::endpoint> metrics;
    /// Where other hosts send datagrams.
    peer_address peers;
    /// Relay addresses of hosts to begin with.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    /// The store.
    boost::asio::ip::tcp::endpoint store;
    /// Hosts that vote on leases; three at least have to be up.
    std::uint32_t witnesses = 5;
    /// Span within which endpoints count orders of two hosts as taking turns.
    duration order_quiet = std::chrono::seconds(3);
    /// Time between the signal to stop and the end of the process.
    duration grace = std::chrono::seconds(8);
    /// Repeated sends for each request of a caller, over all hosts.
    double retry_ratio = 0.2;
    /// Window over which repeated sends are bounded.
    duration retry_window = std::chrono::seconds(10);
    /// Repeated sends beside the ratio, over all hosts.
    double retry_extra = 50;
    /// Descriptors that connections may use.
    std::uint32_t descriptors = 1'024;
    /// Log lines of one event a second.
    std::uint32_t log_lines_per_second = 100;
};

/// The settings, or every reason for rejecting them.
using entry_settings_or_problems =
    std::variant<entry_settings, std::vector<settings_problem>>;

/// Reads settings from YAML text; `file` is the name for problems.
entry_settings_or_problems read_entry_settings(std::string const& file,
                                               std::string const& text);

/// Reads a settings file.
entry_settings_or_problems read_entry_settings_file(std::string const& file);

} // namespace marjorampath::serving
