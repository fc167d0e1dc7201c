#pragma once

#include <marjorampath/lease/lease_action.hpp>
#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/lease_tenure.hpp>
#include <marjorampath/lease/lease_witness.hpp>
#include <marjorampath/lease/witness_activation.hpp>
#include <marjorampath/peer/heartbeat_relay.hpp>
#include <marjorampath/peer/heartbeat_router.hpp>
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

/// Settings of an entry host as a member of its fleet.
struct entry_fleet_options
{
    /// The fields of this host's heartbeat that do not change.
    peer_heartbeat self;
    /// Addresses of the hosts to contact first.
    std::vector<peer_address> seeds;
    /// Terms and timings of the leases.
    lease_options leases;
    /// Time for which a new lease holder gives no orders.
    duration order_quiet = std::chrono::seconds(3);
    /// Timings of heartbeats and of failure detection.
    peer_table_options peers;
};

/// Callbacks of an entry host for messages of its fleet. Called on the host's thread.
struct entry_fleet_events
{
    /// Adds the fields that are the same for all receivers to a heartbeat.
    std::function<void(peer_heartbeat&)> fill_heartbeat;
    /// Adds the fields for one receiver to a heartbeat.
    std::function<void(peer_heartbeat&, host_id)> fill_heartbeat_for;
    /// Handles another host's heartbeat that was received from it at a time: by this host
    /// or, if it was passed on, by another one.
    std::function<void(peer_heartbeat const&, time_point, bool)> on_heartbeat;
    /// Decides on a host's request to load an adapter at an engine of this host.
    std::function<load_reply(load_request const&)> on_load_request;
    /// Handles the reply to a load request of this host.
    std::function<void(load_reply const&)> on_load_reply;
    /// Handles another host's report of its requests in flight at an engine.
    std::function<void(usage_report const&)> on_usage;
    /// The status of an engine whose lease this host holds, or nothing.
    std::function<std::optional<engine_status>(endpoint_id)> status_of;
    /// Handles the status of an engine, sent by its lease holder.
    std::function<void(engine_status const&)> on_status;
    /// Answers another host's request for a permit to send to a limited endpoint.
    std::function<permit_reply(permit_request const&)> on_permit_request;
    /// Handles the reply to a request of this host for a permit.
    std::function<void(permit_reply const&)> on_permit_reply;
    /// Handles what another host learnt of the request rate that an endpoint accepts.
    std::function<void(rate_limit_notice const&)> on_rate_limit;
    /// Another host has started, or its heartbeats have resumed.
    std::function<void(host_id)> on_host_appeared;
    /// Remembers the origin of a stream for another host.
    std::function<void(stream_origin const&)> on_stream_origin;
    /// Answers another host's question for the origin of a stream.
    std::function<stream_origin_reply(stream_origin_query const&)> on_stream_origin_query;
    /// Handles the reply to such a question of this host.
    std::function<void(stream_origin_reply const&)> on_stream_origin_reply;
    /// Answers another host's query for the freshness of this host's configuration.
    std::function<freshness_reply(freshness_query const&)> on_freshness_query;
    /// Handles the reply to such a query of this host.
    std::function<void(freshness_reply const&)> on_freshness_reply;
    /// This host gained an engine's lease, or must use this higher fencing number for it.
    /// The flag is true if no other host has held the lease since this host last did.
    std::function<void(endpoint_id, std::uint64_t, bool)> on_acquired;
    /// This host lost an engine's lease.
    std::function<void(endpoint_id)> on_lost;
};

/// Connects an entry host with the others by UDP datagrams: heartbeats, leases, load
/// requests and usage reports.
class entry_fleet
{
public:
    /// Creates a member that has not joined; `loop` outlives it.
    entry_fleet(boost::asio::io_context& loop, entry_fleet_options options,
                entry_fleet_events events);

    /// Opens the socket and joins the fleet.
    boost::system::error_code open();

    /// Sets the engines whose leases this host may hold.
    void set_engines(std::vector<endpoint_id> const& engines);

    /// Sends a load request to the engine's lease holder. The reply arrives through
    /// `on_load_reply`, or never if a datagram is lost. If no other host is known to hold
    /// the lease, `on_load_reply` is called before this returns: with this host's own
    /// decision, or with a refusal if there is no known holder.
    void request_load(load_request const& request);

    /// Reports this host's requests in flight at an engine to its lease holder; false if
    /// no other host is known to hold the lease. A requested status arrives through
    /// `on_status`, or never if a datagram is lost.
    bool report_usage(endpoint_usage usage, bool wants_status);

    /// Asks another host for a permit to send to a limited endpoint. The reply arrives
    /// through `on_permit_reply`, or never if a datagram is lost.
    void request_permit(permit_request const& request, host_id from);

    /// Tells another host what an endpoint said of the request rate that it accepts.
    void report_rate_limit(rate_limit_notice const& notice, host_id to);

    /// Tells another host the origin of a stream.
    void report_stream_origin(stream_origin const& origin, host_id to);

    /// Asks another host for the origin of a stream. The reply arrives through
    /// `on_stream_origin_reply`, or never if a datagram is lost.
    void query_stream_origin(stream_origin_query const& query, host_id from);

    /// Asks another host for the freshness of its configuration. The reply arrives
    /// through `on_freshness_reply`, or never if a datagram is lost.
    void query_freshness(freshness_query const& query, host_id from);

    /// Sends a heartbeat now instead of at the next interval, as after a change of the
    /// configuration: to every host, or in a large fleet to those of this zone, as each
    /// zone has hosts that read the configuration themselves.
    void announce();

    /// The fencing number for an order to an engine, or nothing if this host may not send
    /// one. To be called right before the order is sent.
    [[nodiscard]] std::optional<std::uint64_t>
    fencing_number_for_order(endpoint_id engine) const;

    /// Chooses a higher fencing number after an engine refused `number`.
    void on_fenced(endpoint_id engine, std::uint64_t number);

    /// Hands over all leases and announces the leave to the others.
    void leave();

    /// Announces the end of the process to the others and closes the socket.
    void close();

    /// The other hosts.
    [[nodiscard]] peer_table const& peers() const noexcept
    {
        return peers_;
    }

    /// The host that holds an engine's lease, by its last heartbeat; empty if none is
    /// known.
    [[nodiscard]] host_id holder_of(endpoint_id engine) const;

private:
    // Age beyond which a heartbeat that was passed on is ignored
    static constexpr duration max_relayed_age = std::chrono::seconds(5);
    // Largest payload of a UDP datagram over IPv4
    static constexpr std::size_t max_datagram_bytes = 65'507;

    // The host that last announced that it holds an engine's lease
    struct announced_holder
    {
        host_id host;
        // When its heartbeat arrived
        time_point announced_at;
    };

    // Receives the next datagram
    void receive();
    // Source address of the datagram that is being handled
    [[nodiscard]] peer_address sender() const;
    // Decodes and handles a datagram; one that cannot be decoded is ignored
    void handle(std::string_view bytes);
    // Handles a heartbeat that was received from its sender at a time, by this host or by
    // one that passed it on
    void handle_heartbeat(peer_heartbeat const& heartbeat, time_point received_at,
                          bool passed_on);
    // Handles the heartbeats that were passed on with another one
    void handle_relayed(peer_heartbeat const& carrier);
    // Handles one kind of message
    void handle(peer_heartbeat const& heartbeat);
    void handle(lease_request const& request);
    void handle(lease_reply const& reply);
    void handle(lease_release const& release);
    void handle(load_request const& request);
    void handle(load_reply const& reply);
    void handle(usage_report const& report);
    void handle(engine_status const& status);
    void handle(permit_request const& request);
    void handle(permit_reply const& reply);
    void handle(rate_limit_notice const& notice);
    void handle(stream_origin const& origin);
    void handle(stream_origin_query const& query);
    void handle(stream_origin_reply const& reply);
    void handle(freshness_query const& query);
    void handle(freshness_reply const& reply);
    // Runs the lease state machines and sends heartbeats when they are due
    void tick();

    // Passes the known hosts to the lease state machines
    void update_hosts(time_point now);
    // Executes the actions that the lease holder decided on
    void carry_out(lease_actions const& actions);
    void carry_out(send_lease_request const& action);
    void carry_out(send_lease_release const& action);
    void carry_out(lease_acquired const& action);
    void carry_out(lease_lost const& action);
    // Decides on a lease request as a witness
    lease_reply answer_lease_request(lease_request const& request);
    // Sends a message to an address, or to a host
    void send(peer_message const& message, peer_address const& to);
    void send(peer_message const& message, host_id to);
    // The next heartbeat of this host, without the fields for one receiver
    [[nodiscard]] peer_heartbeat make_heartbeat();
    // Completes a heartbeat for a receiver and sends it
    void send_heartbeat(peer_heartbeat heartbeat, heartbeat_target const& to);
    // Sends the heartbeats of one round
    void send_round(time_point now);
    // Sends a heartbeat to all known addresses
    void send_to_all();

    // Settings
    entry_fleet_options options_;
    // Callbacks
    entry_fleet_events events_;
    boost::asio::ip::udp::socket socket_;
    // Fires at the next tick
    boost::asio::steady_timer timer_;
    // Source of the current datagram
    boost::asio::ip::udp::endpoint sender_;
    // Bytes of the current datagram
    std::array<char, max_datagram_bytes> buffer_;
    // Other hosts
    peer_table peers_;
    // Chooses the receivers of heartbeats
    heartbeat_router router_;
    // Heartbeats of other groups that this host passes on to its own
    heartbeat_relay relay_;
    // Number of the last heartbeat
    std::uint64_t sequence_ = 0;
    // Leases that this host holds or requests
    lease_holder holder_;
    // Leases that this host granted as a witness
    lease_witness witness_;
    // Whether this host may grant leases
    witness_activation activation_;
    // Leases that this host held
    lease_tenure tenure_;
    // Lease holders by their heartbeats
    std::map<endpoint_id, announced_holder> holders_;
    // When the next heartbeats are due
    time_point next_heartbeat_at_;
    // Time of the last tick
    std::optional<time_point> last_tick_;
    // Whether heartbeats announce the end of the process
    bool gone_ = false;
};

} // namespace marjorampath::serving
