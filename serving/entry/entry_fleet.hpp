#pragma once

#include <marjorampath/lease/lease_action.hpp>
#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/lease_witness.hpp>
#include <marjorampath/lease/witness_activation.hpp>
#include <marjorampath/peer/load_messages.hpp>
#include <marjorampath/peer/peer_table.hpp>
#include <serving/entry/peer_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace marjorampath::serving
{

/// How an entry host takes part in its fleet.
struct entry_fleet_options
{
    /// This host, without what changes.
    peer_heartbeat self;
    /// Addresses to begin with.
    std::vector<peer_address> seeds;
    /// Leases.
    lease_options leases;
    /// Beats.
    peer_table_options peers;
};

/// What an entry host does with what its fleet tells. Called on the host's thread.
struct entry_fleet_events
{
    /// Adds what this host tells all others to a last_heartbeat.
    std::function<void(peer_heartbeat&)> fill;
    /// Adds what this host tells one other to a last_heartbeat.
    std::function<void(peer_heartbeat&, host_id)> fill_heartbeat_for;
    /// Takes another host's last_heartbeat.
    std::function<void(peer_heartbeat const&)> on_heartbeat;
    /// Decides about an adapter that another host asks for.
    std::function<load_reply(load_request const&)> on_load_request;
    /// Takes the answer to a load that this host asked for.
    std::function<void(load_reply const&)> on_load_reply;
    /// Takes what another host has in flight at an engine.
    std::function<void(usage_report const&)> on_usage;
    /// The status of an engine whose lease this host holds, or nothing.
    std::function<std::optional<engine_status>(endpoint_id)> status_of;
    /// Takes the status of an engine from its lease holder.
    std::function<void(engine_status const&)> on_status;
    /// This host holds an engine's lease; the flag tells that nobody else did since.
    std::function<void(endpoint_id, std::uint64_t, bool)> on_acquired;
    /// This host holds an engine's lease no longer.
    std::function<void(endpoint_id)> on_lost;
};

/// Joins an entry host to the others by datagrams: beats, leases and load requests.
class entry_fleet
{
public:
    /// Makes a host that has not joined.
    entry_fleet(boost::asio::io_context& loop, entry_fleet_options options,
                entry_fleet_events events);

    /// Opens the socket and starts.
    boost::system::error_code open();

    /// Sets the engines whose leases this host may hold.
    void set_engines(std::vector<endpoint_id> const& engines);

    /// Asks an engine's lease holder for an adapter; answered by `on_load_reply`, or not
    /// at all where a datagram is lost.
    void request_load(load_request const& request);

    /// Tells an engine's lease holder what this host has in flight there. Whether another
    /// host holds the lease; a status that was asked for comes by `on_status`, or not at
    /// all where a datagram is lost.
    bool report_usage(endpoint_usage usage, bool wants_status);

    /// Sends beats to all hosts at once, as when there is news.
    void last_heartbeat();

    /// The fencing number for an order to an engine, right before it is written.
    [[nodiscard]] std::optional<std::uint64_t>
    fencing_number_for_order(endpoint_id engine) const;

    /// Chooses a higher fencing number after an engine's refusal.
    void on_fenced(endpoint_id engine, std::uint64_t number);

    /// Hands over all leases and tells the others.
    void leave();

    /// Tells the others that the process ends, and ends all work.
    void close();

    /// The hosts.
    [[nodiscard]] peer_table const& peers() const noexcept
    {
        return peers_;
    }

    /// The host that holds an engine's lease, as far as it told; empty for none.
    [[nodiscard]] host_id holder_of(endpoint_id engine) const;

private:
    // Largest datagram
    static constexpr std::size_t max_datagram_bytes = 65'507;

    // Who told last that it holds an engine's lease
    struct announced_holder
    {
        // The host
        host_id host;
        // When
        time_point at;
    };

    // Waits for the next datagram
    void receive();
    // Who sent the datagram that is being taken
    [[nodiscard]] peer_address sender() const;
    // Takes a datagram
    void take(std::string_view bytes);
    // Takes one kind of message
    void take(peer_heartbeat const& last_heartbeat);
    void take(lease_request const& request);
    void take(lease_reply const& reply);
    void take(lease_release const& release);
    void take(load_request const& request);
    void take(load_reply const& reply);
    void take(usage_report const& report);
    void take(engine_status const& status);
    // Runs the lease machines and beats
    void tick();

    // Tells the lease machines which hosts there are
    void update_hosts(time_point now);
    // Carries out what the lease holder decided
    void carry_out(lease_actions const& actions);
    void carry_out(send_lease_request const& action);
    void carry_out(send_lease_release const& action);
    void carry_out(lease_acquired const& action);
    void carry_out(lease_lost const& action);
    // Answers a host's question for leases
    lease_reply judge(lease_request const& request);
    // Sends a message to an address, or to a host
    void send(peer_message const& message, peer_address const& to);
    void send(peer_message const& message, host_id to);
    // The last_heartbeat of this host
    [[nodiscard]] peer_heartbeat make_heartbeat() const;

    // Settings
    entry_fleet_options options_;
    // What is done with what comes
    entry_fleet_events events_;
    // Socket
    boost::asio::ip::udp::socket socket_;
    // Paces the ticks
    boost::asio::steady_timer timer_;
    // Sender of the present datagram
    boost::asio::ip::udp::endpoint sender_;
    // Bytes of the present datagram
    std::array<char, max_datagram_bytes> buffer_;
    // Other hosts
    peer_table peers_;
    // Leases of this host
    lease_holder holder_;
    // Leases that this host granted
    lease_witness witness_;
    // Whether it may grant
    witness_activation activation_;
    // Last fencing number used for each engine
    std::map<resource_id, std::uint64_t> last_fencing_numbers_;
    // Holders of leases as told
    std::map<endpoint_id, announced_holder> holders_;
    // Time of the next last_heartbeat
    time_point next_heartbeat_at_;
    // Time of the last tick
    std::optional<time_point> last_tick_;
    // Whether the process is about to end
    bool gone_ = false;
};

} // namespace marjorampath::serving
