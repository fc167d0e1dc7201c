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
    /// Number of hosts of a region that watch the configuration service.
    std::size_t readers = 2;
    /// Number of peers that a host asks at its start.
    std::size_t startup_peers = 3;
    /// Time that a host waits for peers at its start before it believes the configuration
    /// service.
    duration startup_wait = std::chrono::milliseconds(1'000);
    /// Time after which another peer is asked for a newer sheet.
    duration peer_timeout = std::chrono::milliseconds(400);
    /// A host without a sheet reads the configuration service itself after this time,
    /// even if it is no reader.
    duration direct_read_delay = std::chrono::milliseconds(5'000);
};

/// Asks a peer for its sheet: sends a `sheet_request`.
struct request_sheet_from_peer
{
    /// The peer.
    host_id peer;
};

/// Starts or stops to read and watch the configuration service.
struct watch_configuration
{
    /// Whether to watch.
    bool on = false;
};

/// Takes a checked sheet into force.
struct install_sheet
{
    /// Its number.
    std::uint64_t number = 0;
    /// Its digest.
    std::uint64_t digest = 0;
};

/// Reports that two sheets of one number differ. The one in force stays.
struct sheet_conflict
{
    /// The number.
    std::uint64_t number = 0;
};

/// What a `sheet_spread` decided.
using sheet_spread_action = std::variant<request_sheet_from_peer, watch_configuration,
                                         install_sheet, sheet_conflict>;

/// Decisions in the order in which they were made.
using sheet_spread_actions = std::vector<sheet_spread_action>;

/// Brings the latest sheet to every host. Numbers only rise.
///
/// The oldest hosts of a region watch the configuration service; the others ask a peer
/// when gossip tells of a higher number. A host that starts asks peers first.
class sheet_spread
{
public:
    /// Makes a host without a sheet.
    sheet_spread(host_id self, sheet_spread_options options, time_point now);

    /// Number in force, zero for none.
    [[nodiscard]] std::uint64_t number() const noexcept
    {
        return number_;
    }

    /// Digest in force.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// Whether this host watches the configuration service.
    [[nodiscard]] bool watching() const noexcept
    {
        return watching_;
    }

    /// Takes the hosts as known now.
    void set_hosts(std::span<known_host const> hosts);

    /// Takes the number that a peer has in force, by gossip or by its reply.
    void on_peer_number(time_point now, host_id peer, std::uint64_t number,
                        std::uint64_t digest, sheet_spread_actions& actions);

    /// A peer answered without a newer sheet, or could not be asked.
    void on_peer_request_done(time_point now, host_id peer,
                              sheet_spread_actions& actions);

    /// Takes a sheet that was read, from a peer or the configuration service, and checked
    /// as a whole.
    void on_sheet_checked(std::uint64_t number, std::uint64_t digest,
                          sheet_spread_actions& actions);

    /// Asks again and chooses the readers. To be called several times a second.
    void on_tick(time_point now, sheet_spread_actions& actions);

private:
    // Asks the next peer that has a higher number
    void ask_next(time_point now, sheet_spread_actions& actions);
    // Asks the first peers, or gives up waiting for them
    void start_up(time_point now, sheet_spread_actions& actions);
    // Whether this host is among the readers
    [[nodiscard]] bool is_reader() const;

    // This host
    host_id self_;
    // Settings
    sheet_spread_options options_;
    // Number and digest in force
    std::uint64_t number_ = 0;
    std::uint64_t digest_ = 0;
    // Time of the start
    time_point started_;
    // Whether the wait for the first peers is over
    bool started_up_ = false;
    // Whether each of the first peers that were asked answered
    std::map<host_id, bool> first_peers_;
    // Whether the configuration service is watched
    bool watching_ = false;
    // Hosts that answer
    std::vector<host_record> hosts_;
    // Higher numbers that peers have
    std::map<host_id, std::uint64_t> higher_;
    // Peer that was asked, and the end of the wait for it
    host_id asked_;
    time_point asked_until_;
    // Number of the latest reported conflict
    std::uint64_t conflict_ = 0;
};

} // namespace marjorampath
