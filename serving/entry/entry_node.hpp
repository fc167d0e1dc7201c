#pragma once

#include <marjorampath/adapter_load/load_planner.hpp>
#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/peer/relay_choice.hpp>
#include <serving/caller/caller_listener.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/endpoint/http_fetch.hpp>
#include <serving/entry/entry_context.hpp>
#include <serving/entry/entry_exchange.hpp>
#include <serving/entry/entry_fleet.hpp>
#include <serving/entry/entry_platform.hpp>
#include <serving/entry/entry_settings.hpp>
#include <serving/node/held_signals.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <charconv>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marjorampath::serving
{

/// Times of an entry node.
struct entry_node_times
{
    /// Time between two listings of the endpoints: twice within the time in which a
    /// leaving endpoint must be known.
    duration listing_interval = std::chrono::milliseconds(800);
    /// Longest wait of a watch. One that was cut silently shows after it, which must be
    /// well within the time in which a configuration is due in force.
    std::chrono::milliseconds watch_wait{1'000};
    /// Pause behind a failed read.
    duration read_pause = std::chrono::milliseconds(300);
    /// Age of the own listing beyond which a peer's is read. With the times between reads
    /// and beats, an endpoint's leave is known everywhere within 2.5 s.
    duration max_listing_age = std::chrono::milliseconds(600);
    /// What a peer's listing in another zone counts as older: bytes between zones cost.
    duration other_zone_penalty = std::chrono::milliseconds(900);
    /// Time between two reports of an engine whose lease is held.
    duration report_interval = std::chrono::milliseconds(600);
    /// Time between two looks at what needs doing.
    duration chore_interval = std::chrono::milliseconds(100);
    /// Time for which new callers are served behind the signal to stop: two questions of
    /// the balancer, one a second, and their way.
    duration notice = std::chrono::milliseconds(2'300);
    /// Time kept between the last cut and the end of the grace period.
    duration grace_margin = std::chrono::milliseconds(350);
};

/// One entry host on a platform whose store can only be read.
///
/// One thread carries everything: these hosts have a part of one core, where a hop
/// between threads costs more than the decisions do.
template <entry_platform Platform>
class entry_node
{
public:
    /// Makes a node that does not run yet. `reload` reads the settings again.
    entry_node(entry_settings settings,
               std::function<entry_settings_or_problems()> reload);

    /// Opens the listening sockets.
    boost::system::error_code listen();

    /// Runs until the node was told to stop.
    void run();

    /// Shuts down without cutting requests. Further calls change nothing.
    void shut_down();

private:
    // Path of the relayed news of the operator; a revision follows
    static constexpr std::string_view operator_relay_path = "/relay/operator?after=";
    // Largest view that is taken from a peer, in bytes: a megabyte of configuration and
    // thousands of versions
    static constexpr std::size_t max_relay_answer_bytes = 8'000'000;

    using engine_client = typename Platform::engine_client;
    using view_source = typename Platform::view_source;

    // Makes what the exchanges share
    entry_context make_context();
    // Makes this host's part in the fleet
    entry_fleet_options make_fleet_options() const;
    entry_fleet_events make_fleet_events();
    // Answers on the readiness, relay and metrics addresses
    boost::asio::awaitable<void> answer_service(caller_session& session,
                                                caller_message const& message);

    // Waits; a cancelled timer ends it
    boost::asio::awaitable<void> wait_for(boost::asio::steady_timer& timer,
                                          duration time);
    // Reads listings until the node ends
    boost::asio::awaitable<void> poll_endpoints();
    // Watches the operator until the node ends
    boost::asio::awaitable<void> watch_operator();
    // Reads a peer's view where the own one is old
    boost::asio::awaitable<void> read_peer_view();
    // Reads one path from a peer's relay address
    boost::asio::awaitable<std::string> fetch_from_peer(peer_address peer,
                                                        std::string path);
    // Takes a listing
    void apply_listing(endpoint_listing listing, std::string_view source);
    // Takes what the operator published
    void take_news(operator_update const& news, std::string_view source);
    // Takes a configuration into force
    void take_configuration(std::shared_ptr<deployment const> const& configuration,
                            std::string_view source);
    // Tells the fleet which engines there are
    void update_engines();
    // Notes whether the store answers
    void update_store_state(std::error_code error);

    // Does what is due, again and again
    void chores();
    // Reads the reports of engines whose lease is held
    void read_reports();
    boost::asio::awaitable<void> read_report(endpoint_announcement engine);
    // Gives the orders that are due
    void give_orders();
    boost::asio::awaitable<void> give_order(planned_order order);
    // Tells an engine's lease holder what this host has in flight there
    bool report_usage(endpoint_id engine, bool wants_status);
    // Takes the status of an engine that its lease holder was asked for
    void on_status(engine_status const& status);
    // Tells the dispatcher about one engine of this host
    void publish_status(endpoint_id engine);
    // Tells the dispatcher about the engines of this host
    void publish_statuses();

    // Takes another host's last_heartbeat
    void on_heartbeat(peer_heartbeat const& last_heartbeat);
    // What this host tells all others
    void fill(peer_heartbeat& last_heartbeat);
    // What this host tells one other
    void fill_heartbeat_for(peer_heartbeat& last_heartbeat, host_id to);
    // Decides about a load at an engine of this host
    load_reply on_load_request(load_request const& request);
    // Takes the answer to a load
    void on_load_reply(load_reply const& reply);

    // Watches for signals
    void watch_signals();
    // Reads the settings again
    void reload();
    // The bounds on repeated sends
    [[nodiscard]] retry_budget_options budget_options() const;
    // Whether this host takes callers
    [[nodiscard]] bool ready() const;
    // Takes no new callers any more
    void stop_callers();
    // Ends everything
    void finish();

    // Settings
    entry_settings settings_;
    // Reads them again
    std::function<entry_settings_or_problems()> reload_;
    // Times
    entry_node_times times_;
    // Event loop
    boost::asio::io_context loop_{1};
    // Signals
    boost::asio::signal_set signals_;
    // Paces the shutdown
    boost::asio::steady_timer stop_timer_;
    // Ends the shutdown in time
    boost::asio::steady_timer grace_timer_;
    // Paces the chores
    boost::asio::steady_timer chore_timer_;
    // Paces the reads of the store
    boost::asio::steady_timer listing_timer_;
    boost::asio::steady_timer watch_timer_;
    // Metrics
    metrics_registry metrics_;
    // What the exchanges share
    entry_context context_;
    // What the service addresses share
    caller_context service_context_;
    // Callers
    caller_listener callers_;
    // Balancer, other hosts and operators
    caller_listener readiness_;
    caller_listener relay_;
    caller_listener metrics_listener_;
    // Reads the store
    view_source source_;
    // Connections for orders and reports
    connection_pool order_connections_;
    // Gives orders
    engine_client engines_;
    // Endpoints
    endpoint_catalog catalog_;
    // Plans orders
    load_planner planner_;
    // Other hosts
    entry_fleet fleet_;
    // Last listing, for other hosts
    std::string relayed_listing_;
    // Revision that the operator is watched from
    std::uint64_t watched_revision_ = 0;
    // Requests at plain endpoints by other hosts
    std::map<endpoint_id, std::map<host_id, std::uint32_t>> others_in_flight_;
    // Engines that were announced as the fleet's resources
    std::set<endpoint_id> known_engines_;
    // Reports under way
    std::set<endpoint_id> pending_reports_;
    // When reports are read next
    time_point next_reports_at_;
    // When a peer's view is read next
    time_point next_peer_view_at_;
    // Whether a peer's view is being read
    bool reading_peer_view_ = false;
    // Whether the store answered the last time
    bool store_reachable_ = true;
    // Whether the host took callers at the last question
    bool was_ready_ = false;
    // Whether the node is shutting down
    bool stopping_ = false;
    // Whether it has ended
    bool finished_ = false;
};

} // namespace marjorampath::serving

#include <serving/entry/entry_node.inl>
#include <serving/entry/entry_node_view.inl>
