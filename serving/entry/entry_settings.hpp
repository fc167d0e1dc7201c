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

/// The settings of an entry node, read from its YAML file.
struct entry_settings
{
    /// Name of this host.
    std::string host;
    /// Availability zone of this host.
    std::string zone;
    /// Address on which callers connect.
    boost::asio::ip::tcp::endpoint callers;
    /// Address on which the balancer probes whether the host accepts callers.
    boost::asio::ip::tcp::endpoint readiness;
    /// Path of the readiness probe.
    std::string readiness_path;
    /// Address on which other hosts read this host's copy of the store.
    boost::asio::ip::tcp::endpoint relay;
    /// Address on which metrics are read; without one they are not served.
    std::optional<boost::asio::ip::tcp::endpoint> metrics;
    /// Source address of connections to endpoints, for hosts that have several; chosen by
    /// the system if empty.
    std::optional<boost::asio::ip::address_v4> outgoing;
    /// Address on which other hosts send datagrams.
    peer_address peers;
    /// Relay addresses of the hosts to contact first.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    /// Address of the store.
    boost::asio::ip::tcp::endpoint store;
    /// Number of hosts that vote on leases; at least three of them must be up.
    std::uint32_t witnesses = 5;
    /// Window within which an engine detects alternating orders from two hosts. A new
    /// lease holder waits longer than this before its first order.
    duration order_quiet = std::chrono::seconds(3);
    /// Longest time between the signal to stop and the end of the process.
    duration grace = std::chrono::seconds(8);
    /// Retries allowed for each request of a caller, over all hosts.
    double retry_ratio = 0.2;
    /// Window over which retries are bounded.
    duration retry_window = std::chrono::seconds(10);
    /// Retries allowed in a window in addition to those of the ratio, over all hosts.
    double retry_extra = 50;
    /// Time behind the operator's change within which every host must refuse a revoked
    /// key, also a host that is cut off; empty if only hosts in touch must.
    std::optional<duration> revocation_bound;
    /// Taken off that bound: longest time from a check of a key until the request is
    /// sent.
    duration revocation_margin = std::chrono::milliseconds(300);
    /// Part of a quota by which all hosts together may exceed it.
    double quota_tolerance = 0;
    /// Number of file descriptors of the process, of which some are set aside.
    std::uint32_t descriptors = 1'024;
    /// Memory of the machine, in MiB.
    std::uint32_t memory_mb = 64;
    /// Largest number of log lines of one event per second.
    std::uint32_t log_lines_per_second = 100;
};

/// The settings, or every reason for rejecting them.
using entry_settings_or_problems =
    std::variant<entry_settings, std::vector<settings_problem>>;

/// Reads settings from YAML text; `file` is the file name in reported problems.
entry_settings_or_problems read_entry_settings(std::string const& file,
                                               std::string const& text);

/// Reads a settings file.
entry_settings_or_problems read_entry_settings_file(std::string const& file);

} // namespace marjorampath::serving
