#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/membership/known_host.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace marjorampath
{

/// Settings of a `sheet_spread`.
struct sheet_spread_options
{
    /// Number of hosts in a region that watch the configuration service.
    std::size_t readers = 2;
    /// Number of peers from which a starting host requests the sheet.
    std::size_t startup_peers = 3;
    /// Time that a starting host waits for these peers before it may read the
    /// configuration service.
    duration startup_wait = std::chrono::milliseconds(1'000);
    /// Time after which a request for a newer sheet goes to another peer.
    duration peer_timeout = std::chrono::milliseconds(400);
    /// Time after its start at which a host without a sheet reads the configuration
    /// service even if it is no reader.
    duration direct_read_delay = std::chrono::milliseconds(5'000);
};

/// Sends a `sheet_request` to a peer.
struct request_sheet_from_peer
{
    /// The peer.
    host_id peer;
};

/// Starts or stops reading and watching the configuration service.
struct watch_configuration
{
    bool on = false;
};

/// Puts a checked sheet into force.
struct install_sheet
{
    /// Its number.
    std::uint64_t number = 0;
    /// Its digest.
    std::uint64_t digest = 0;
};

/// Reports that a peer has a different sheet of the same number. This host
/// keeps its own.
struct sheet_conflict
{
    /// The number of both sheets.
    std::uint64_t number = 0;
};

/// A decision of `sheet_spread` that the caller carries out.
using sheet_spread_action = std::variant<request_sheet_from_peer, watch_configuration,
                                         install_sheet, sheet_conflict>;

/// Decisions in the order to carry them out.
using sheet_spread_actions = std::vector<sheet_spread_action>;

/// Distributes the latest sheet to every host. The number in force never decreases.
///
/// The oldest hosts of a region, the readers, watch the configuration service. Every host
/// requests the sheet from a peer when gossip contains a higher number. A starting host
/// requests it from peers first.
class sheet_spread
{
public:
    /// Starts without a sheet.
    sheet_spread(host_id self, sheet_spread_options options, time_point now);

    /// Number of the sheet in force, zero if there is none.
    [[nodiscard]] std::uint64_t number() const noexcept
    {
        return number_;
    }

    /// Digest of the sheet in force.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// Whether this host watches the configuration service.
    [[nodiscard]] bool watching() const noexcept
    {
        return watching_;
    }

    /// Replaces the known hosts.
    void set_hosts(std::span<known_host const> hosts);

    /// Processes the number and digest of a peer's sheet in force, from gossip or a
    /// reply.
    void on_peer_number(time_point now, host_id peer, std::uint64_t number,
                        std::uint64_t digest, sheet_spread_actions& actions);

    /// Handles the end of a request to a peer that replied without a newer sheet or could
    /// not be reached. Until this call or `peer_timeout`, no other peer is requested,
    /// even after `on_sheet_checked`.
    void on_peer_request_done(time_point now, host_id peer,
                              sheet_spread_actions& actions);

    /// Puts a sheet into force that was read from a peer or the configuration service and
    /// checked as a whole, if it is newer.
    void on_sheet_checked(std::uint64_t number, std::uint64_t digest,
                          sheet_spread_actions& actions);

    /// Retries requests after timeouts and starts or stops watching the configuration
    /// service. To be called several times a second.
    void on_tick(time_point now, sheet_spread_actions& actions);

private:
    // Requests the sheet from the peer with the highest number if no request is pending
    void request_from_next_peer(time_point now, sheet_spread_actions& actions);
    // Sends requests to the startup peers and checks whether the wait for them is over
    void check_startup(time_point now, sheet_spread_actions& actions);
    // Whether this host is among the readers
    [[nodiscard]] bool is_reader() const;

    host_id self_;
    sheet_spread_options options_;
    // Number and digest of the sheet in force
    std::uint64_t number_ = 0;
    std::uint64_t digest_ = 0;
    // Time at which this host started
    time_point started_;
    // Whether the wait for the startup peers is over
    bool startup_done_ = false;
    // Startup peers and whether the request to each has ended
    std::map<host_id, bool> startup_peers_;
    // Whether the configuration service is watched
    bool watching_ = false;
    // Alive and leaving hosts, oldest first
    std::vector<host_record> hosts_;
    // Sheet numbers of peers that have a newer sheet
    std::map<host_id, std::uint64_t> newer_peers_;
    // Peer with a pending request, and the time at which it expires
    host_id pending_peer_;
    time_point pending_until_;
    // Number of the latest reported conflict
    std::uint64_t reported_conflict_ = 0;
};

} // namespace marjorampath
