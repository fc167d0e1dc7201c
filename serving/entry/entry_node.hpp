#pragma once

#include <marjorampath/adapter_load/load_planner.hpp>
#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/freshness/freshness_peer.hpp>
#include <marjorampath/organisation/access_decision.hpp>
#include <marjorampath/peer/forward_choice.hpp>
#include <marjorampath/peer/relay_choice.hpp>
#include <marjorampath/peer/relay_failures.hpp>
#include <marjorampath/stream_origin/open_streams.hpp>
#include <marjorampath/stream_origin/origin_evidence.hpp>
#include <marjorampath/stream_origin/software_history.hpp>
#include <marjorampath/stream_origin/stream_origin_table.hpp>
#include <marjorampath/stream_origin/stream_replicas.hpp>
#include <serving/caller/caller_listener.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/endpoint/http_fetch.hpp>
#include <serving/entry/entry_context.hpp>
#include <serving/entry/entry_exchange.hpp>
#include <serving/entry/entry_fleet.hpp>
#include <serving/entry/entry_node_times.hpp>
#include <serving/entry/entry_platform.hpp>
#include <serving/entry/entry_settings.hpp>
#include <serving/entry/relay_text.hpp>
#include <serving/node/signal_mask.hpp>
#include <serving/remote/remote_error.hpp>
#include <serving/telemetry/bounded_labels.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marjorampath::serving
{

/// An entry host on a platform whose store is read-only.
///
/// Everything runs on one thread: these hosts have a share of one core, where passing
/// work between threads costs more than the decisions.
template <entry_platform Platform>
class entry_node
{
public:
    /// Creates a node that does not run yet. `reload` reads the settings file again.
    entry_node(entry_settings settings,
               std::function<entry_settings_or_problems()> reload);

    /// Opens the listening sockets.
    boost::system::error_code listen();

    /// Runs until the node has shut down.
    void run();

    /// Starts the shutdown: requests may finish until the grace period ends. Further
    /// calls change nothing.
    void shut_down();

private:
    // Path at which hosts relay the operator's data; the revision to start after follows
    static constexpr std::string_view operator_relay_path = "/relay/operator?after=";
    // Path at which hosts relay the listing of endpoints
    static constexpr std::string_view listing_relay_path = "/relay/endpoints";
    // Watches of the operator's data that may fail before all of it is read again
    static constexpr unsigned max_failed_watches = 3;
    // Time for which a host that starts waits for all of the operator's data before it
    // accepts callers without: well within the time for recovery
    static constexpr duration max_first_listing = std::chrono::seconds(3);

    // Answers to other hosts up to this size are sent at once, in bytes
    static constexpr std::size_t max_unlimited_relay_bytes = 16'384;
    // Larger answers that are sent at the same time. A host with a narrow link finishes a
    // few in the time in which all of them would fail
    static constexpr unsigned max_large_relays = 4;
    // Heartbeats within which hosts that start together learn of each other
    static constexpr std::int64_t introduction_heartbeats = 2;
    // Heartbeats that a host has sent once it knows the load of all others
    static constexpr std::uint64_t established_heartbeats = 20;
    // Header with the age of a relayed listing, in milliseconds
    static constexpr char const* listing_age_header = "Listing-Age-Ms";
    // Header with the time for which the store is known to have been available, in
    // milliseconds
    static constexpr char const* available_for_header = "Store-Available-Ms";
    // Headers with a position of the store; without the era if that is zero
    struct position_field
    {
        char const* revision;
        char const* era;
    };
    // Last change of the operator that a host has, and the position of the store up to
    // which it has all changes
    static constexpr position_field operator_change_field{"Operator-Change",
                                                          "Operator-Change-Era"};
    static constexpr position_field operator_complete_field{"Operator-Complete",
                                                            "Operator-Complete-Era"};
    // Fields that a host adds to a request that it passes on, in bytes
    static constexpr std::uint32_t max_forward_fields_bytes = 1'024;
    // Largest body of a request to the service addresses, in bytes
    static constexpr std::uint64_t max_service_body_bytes = 4'096;
    // Largest answer that is read from a peer, in bytes: a megabyte of configuration and
    // thousands of adapter versions
    static constexpr std::size_t max_relay_answer_bytes = 8'000'000;

    // Other hosts that remember the origin of a stream. All may be lost at once, and then
    // it is unknown
    static constexpr std::size_t origin_replicas = 4;
    // Most reads of the store's history in a row: the first guesses how far to go back
    static constexpr unsigned max_history_reads = 8;
    // Announcements beyond those of the time asked for: the estimate of the time that the
    // history covers is a cautious one
    static constexpr duration::rep spare_announcements = 3;
    // Endpoints of a service that are probed at once
    static constexpr std::size_t probed_endpoints = 3;
    // Other hosts that are asked for it: more, as others may have been alive when the
    // stream began
    static constexpr std::size_t origin_queries = 6;

    using engine_client = typename Platform::engine_client;
    using view_source = typename Platform::view_source;

    // Probes of some endpoints of one service
    struct service_probe
    {
        service_id service;
        // Endpoints that have not answered yet
        std::size_t pending = 0;
        // Whether the result is known
        bool decided = false;
    };

    // Contents of the store that a peer relayed
    struct relayed_contents
    {
        // The peer's answer
        std::string body;
        // The peer's address, for the log
        std::string peer;
        // Bytes that were received, and the time that it took
        std::size_t bytes = 0;
        duration took{0};
        // Whether the listing that this host has is still the newest one
        bool unchanged = false;
        // Time since they were read from the store
        duration age{0};
        // Time for which the peer knows of no outage of the store
        duration available_for{0};
        // Last change of the operator that the peer has, and the position of the store up
        // to which it has all changes; zero from builds that do not say so
        store_position operator_change;
        store_position operator_complete;
    };

    // The operator's data as text for hosts that have it up to a position
    struct operator_relay
    {
        operator_position from;
        operator_position to;
        std::shared_ptr<relay_text> text;
    };

    // Makes the state that the exchanges share
    entry_context make_context();
    // Limits on requests that other hosts pass on, and of the service addresses
    [[nodiscard]] caller_limits forward_limits() const;
    [[nodiscard]] static caller_limits service_limits();
    // Sets the metrics of what this host holds
    void update_resource_metrics();
    // Makes the handler of requests, of callers or passed on by other hosts
    auto make_handler(bool forwarded);
    // Refuses a request whose caller may not send it, before its body is read
    std::optional<caller_answer> refuse_head(caller_message const& message);
    // Whether keys are refused once this host cannot confirm its configuration
    [[nodiscard]] bool confirms_configuration() const;
    // Time since the configuration was certainly current; -1 if it never was
    [[nodiscard]] std::int64_t configuration_age_ms(time_point now) const;
    // Notes what a read of the operator's data from the store proves
    void note_operator_read(operator_update const& update, time_point requested_at);
    // Notes a part of a read of all of the operator's data, and logs its end
    void note_operator_listing(operator_update const& update, time_point requested_at);
    // Notes the end of a watch, and decides whether all of the data is read again
    void note_operator_watch(operator_update const& update);
    // Asks another host for a newer proof if that is due, and logs whether there is one
    void confirm_configuration(time_point now);
    // Logs what was left out of a configuration's organisations
    void log_organisation_problems(deployment const& configuration);
    // Makes the settings and callbacks of the fleet membership
    entry_fleet_options make_fleet_options() const;
    entry_fleet_events make_fleet_events();
    // Answers on the readiness, relay and metrics addresses
    boost::asio::awaitable<void> answer_service(caller_session& session,
                                                caller_message const& message);

    // Waits for a time, or until the timer is cancelled
    boost::asio::awaitable<void> wait_for(boost::asio::steady_timer& timer,
                                          duration time);
    // Lists the endpoints until the node ends
    boost::asio::awaitable<void> poll_endpoints();
    // Watches the operator's data until the node ends
    boost::asio::awaitable<void> watch_operator();
    // Reads a peer's copy of the operator's data, or of the listing of endpoints, if it
    // is newer than this host's. Each has its own connection, so that a large
    // configuration does not hold the listing back
    boost::asio::awaitable<void> read_peer_operator();
    boost::asio::awaitable<void> read_peer_listing();
    // Hosts with newer contents of the store, preferring those that have not failed
    relay_choice choose_relays_except(relay_failures& failures) const;
    // Reads one path from a peer's relay address, unless it is the listing of a position
    // that this host knows; empty if that fails
    boost::asio::awaitable<std::optional<relayed_contents>>
    fetch_from_peer(peer_address peer, std::string path,
                    std::optional<store_position> known_listing,
                    relay_failures& failures);
    // Entity tag of a listing
    static std::string listing_tag(store_position position);
    // Time since this host's listing was read from the store
    [[nodiscard]] duration listing_age(time_point now) const;
    // Time until this host reads the listing from the store; zero for now
    [[nodiscard]] duration time_to_store_listing(time_point now) const;
    // Tells all that depend on it that the listing was read or confirmed
    void on_listing_renewed();
    // Whether this host reads the operator's data from the store
    [[nodiscard]] bool reads_operator_from_store(time_point now) const;
    // Logs that the listing has become old, and how old it was once it is renewed
    void log_listing_age(time_point now);
    // The decoded body of a peer's answer; empty if there is none
    static std::optional<std::string> relayed_body(http_fetch_result const& fetched);
    // Answers another host's read of the listing, or of the operator's data
    boost::asio::awaitable<void> answer_listing_relay(caller_session& session,
                                                      caller_message const& message);
    boost::asio::awaitable<void> answer_operator_relay(caller_session& session,
                                                       caller_message const& message);
    // Completes the answer with a text, or refuses it if too many are being sent
    boost::asio::awaitable<void> answer_relay(caller_session& session,
                                              caller_message const& message,
                                              caller_answer answer, relay_text& text);
    // What another host has of the operator's data, by the path that it reads
    static operator_position read_operator_position(std::string_view path);
    // A number in a field of a peer's answer
    static std::optional<std::uint64_t> number_field(http_fetch_result const& fetched,
                                                     char const* name);
    // Writes a position into an answer to a peer, and reads one from a peer's answer
    static void set_position(caller_answer& answer, position_field const& field,
                             store_position position);
    static store_position read_position(http_fetch_result const& fetched,
                                        position_field const& field);
    // A field of a peer's answer in milliseconds
    static std::optional<duration> duration_field(http_fetch_result const& fetched,
                                                  char const* name);
    // Logs the entries of a listing that name no endpoint and were not in the last one
    void log_ignored_entries(endpoint_listing const& listing);
    // Logs that the store was restored from a copy if a listing showed so
    void note_listing_history(store_position before, std::string_view source);
    // Applies a listing of the endpoints
    void apply_listing(endpoint_listing listing, std::string_view source);
    // Applies what was read of a listing whose read failed
    void apply_listing_part(endpoint_listing listing);
    // Logs a change of an endpoint and tells all that depend on it
    void apply_endpoint_change(endpoint_event const& change, std::string_view source);
    // Takes an endpoint out of use whose answer said that it is leaving
    void note_leaving(endpoint_announcement const& endpoint);
    // Applies an update of the operator's data, which was known up to `before`
    void apply_operator_update(operator_update const& update, store_position before,
                               std::string_view source);
    // Logs that the store was restored from a copy if the operator's data shows so
    void note_operator_history(store_position before, std::string_view source);
    // Puts a configuration in force
    void apply_configuration(std::shared_ptr<deployment const> const& configuration,
                             std::string_view source);
    // Passes the engines whose leases this host may request to the fleet
    void update_engines();
    // Logs when the store becomes reachable or unreachable
    void update_store_state(endpoint_listing const& listing);

    // Runs the periodic tasks and schedules the next run
    void run_periodic_tasks();
    // Finds out whether an engine whose answer broke off has crashed, long before the
    // store's listing shows it
    void check_endpoint(endpoint_announcement const& endpoint);
    boost::asio::awaitable<void> probe_endpoint(endpoint_announcement endpoint);
    // Suspects the requests that were in flight when an endpoint crashed
    void on_endpoint_crash(endpoint_event const& change);
    // Suspects the parts of their prompts; `crash` identifies the process that ended
    void suspect_parts(std::string const& endpoint, std::uint64_t crash);
    // Logs the parts that have been convicted
    void log_part_convictions();
    // Finds out whether any of a few endpoints of a service answers on a new connection
    void probe_service(service_id service);
    boost::asio::awaitable<void> probe_for_service(endpoint_announcement endpoint,
                                                   std::shared_ptr<service_probe> round);
    // Logs whether this host reaches a service
    void log_reachability(service_id service, bool reached);
    // Reads the reports of the engines whose leases this host holds
    void read_reports();
    boost::asio::awaitable<void> read_report(endpoint_announcement engine);
    // Sends the orders that are due to engines
    void send_orders();
    boost::asio::awaitable<void> send_order(planned_order order);
    // Logs an order with its result and what it was planned from
    static void log_order(planned_order const& order, std::string const& name,
                          order_result result, bool leased, duration took);
    // Reports this host's requests in flight at an engine to its lease holder, and may
    // request the engine's status; true if a report was sent
    bool report_usage(endpoint_id engine, bool wants_status);
    // Handles an engine status that this host requested from the lease holder
    void on_status(engine_status const& status);
    // Passes the status of an engine whose lease this host holds to the dispatcher
    void publish_status(endpoint_id engine);
    // Passes the statuses of all these engines to the dispatcher
    void publish_statuses();

    // Handles another host's heartbeat, received from it at a time by this host or by one
    // that passed it on
    void on_heartbeat(peer_heartbeat const& heartbeat, time_point received_at,
                      bool passed_on);
    // Notes another host's requests in flight at plain endpoints
    void update_others_in_flight(host_id host,
                                 std::map<endpoint_id, std::uint32_t> const& in_flight);
    // Passes the requests of other hosts at a plain endpoint to the dispatcher
    void count_others_in_flight(endpoint_id endpoint,
                                std::map<host_id, std::uint32_t> const& hosts);
    // Counts the loads and requests in flight of other hosts that answer
    void count_remote_work();
    // Reports this host's requests in flight at each engine to the lease holders that do
    // not get its heartbeats
    void report_busy_engines();
    // Adds the fields that are the same for all receivers to a heartbeat
    void fill_heartbeat(peer_heartbeat& heartbeat);
    // Adds the fields for one receiver to a heartbeat
    void fill_heartbeat_for(peer_heartbeat& heartbeat, host_id to);
    // Decides on a load request for an engine whose lease this host holds
    load_reply on_load_request(load_request const& request);
    // Handles the reply to a load request
    void on_load_reply(load_reply const& reply);

    // Requests a permit for one request to an endpoint that limits its rate, from the
    // host that issues them; empty if its reply is awaited
    std::optional<permit_reply> request_permit(endpoint_id endpoint,
                                               std::uint64_t number);
    // Answers another host's request for a permit
    permit_reply on_permit_request(permit_request const& request);
    // Handles the reply to such a request of this host
    void on_permit_reply(permit_reply const& reply);
    // Tells the host that issues an endpoint's permits what its answer said
    void report_rate_limit(rate_limit_notice const& notice);
    // Applies what another host knows of an endpoint's rate
    void apply_peer_rate_limit(rate_limit_notice const& notice);

    // Remembers the origin of a stream here and at some other hosts
    void remember_stream(stream_origin const& origin);
    // Tells a host that has started the origins of open streams that it should remember
    void report_open_streams(host_id host);
    // The software version that began a stream; asks other hosts if it is not known here
    std::optional<std::string> find_stream(stream_id stream, std::uint64_t number);
    // Whether the listing was read from the store after a time; else it is read soon
    bool request_listing(time_point since);
    // The software version that began a stream by the versions that its service has had
    // since; reads the store's history if they are not known
    origin_finding judge_versions(stream_question const& question);
    // Reads the store's history until all endpoints are known that can have begun a
    // stream, as far as the store has it
    boost::asio::awaitable<void> read_software_history(stream_begin begin);
    // Number of revisions within which the entries were written since a time, by an
    // estimate
    [[nodiscard]] std::uint64_t estimate_revisions(time_point since) const;
    // The software version that began a stream by what engines keep of its prompt; asks
    // them if that is not known
    origin_finding judge_kept_parts(stream_question const& question);
    // Asks an engine which prompt parts it keeps
    boost::asio::awaitable<void> read_kept_parts(endpoint_announcement engine);
    // Answers another host's question for the origin of a stream
    stream_origin_reply on_stream_origin_query(stream_origin_query const& query);
    // Handles the reply to such a question of this host
    void on_stream_origin_reply(stream_origin_reply const& reply);

    // Watches for signals
    void watch_signals();
    // Reads the settings again and applies those that can change
    void reload();
    // Bounds on retries
    [[nodiscard]] retry_budget_options budget_options() const;
    // Whether this host accepts callers
    [[nodiscard]] bool ready() const;
    // Accepts no further callers; the node finishes when their requests have ended
    void stop_callers();
    // Answers the requests that still run shortly before the grace period ends
    void end_requests();
    // Ends the node once no request of callers or of other hosts is left
    void on_listener_drained();
    // Ends the node and cuts the connections that remain
    void finish();

    entry_settings settings_;
    // Reads the settings file again
    std::function<entry_settings_or_problems()> reload_;
    entry_node_times times_;
    boost::asio::io_context loop_{1};
    boost::asio::signal_set signals_;
    // Ends the shutdown notice
    boost::asio::steady_timer notice_timer_;
    // Ends the shutdown before the grace period is over
    boost::asio::steady_timer grace_timer_;
    // Fires at the next run of the periodic tasks
    boost::asio::steady_timer periodic_timer_;
    // Fire at the next reads of the store
    boost::asio::steady_timer listing_timer_;
    boost::asio::steady_timer watch_timer_;
    metrics_registry metrics_;
    // What this host holds for others
    std::shared_ptr<host_resources> resources_;
    // State that the exchanges share
    entry_context context_;
    // State that the connections to the service addresses share
    caller_context service_context_;
    // State that the connections of other hosts which pass requests on share
    caller_context forward_context_;
    // Connections of callers
    caller_listener callers_;
    // Connections of other hosts which pass requests on
    caller_listener forwards_;
    // Connections of the balancer, of other hosts and of the metrics collector
    caller_listener readiness_;
    caller_listener relay_;
    caller_listener metrics_listener_;
    // Client of the store
    view_source source_;
    // Connections for orders and reports
    connection_pool order_connections_;
    // Client that sends orders to engines and reads their reports
    engine_client engines_;
    // Endpoints by the last listing
    endpoint_catalog catalog_;
    // Plans the orders to engines
    load_planner planner_;
    // Origins of streams, for callers that continue them here or at another host
    stream_origin_table stream_origins_;
    // What engines keep of prompts, for streams whose origin no host remembers
    origin_evidence origin_evidence_;
    // Streams that this host forwards
    open_streams open_streams_;
    // Software versions of the services' endpoints
    software_history software_;
    // Whether the store's history is being read, and when it may be read again
    bool reading_software_history_ = false;
    time_point next_history_read_at_;
    // How far back the last read of it was to reach, and whether the store has no more
    time_point history_sought_since_;
    bool history_exhausted_ = false;
    // Membership in the fleet
    entry_fleet fleet_;
    // Last listing as text for other hosts
    relay_text relayed_listing_;
    // Last text of the operator's data for other hosts
    operator_relay operator_relay_;
    // Large answers to other hosts that are being sent
    unsigned large_relays_ = 0;
    // Hosts from which the last reads failed
    relay_failures failed_operator_relays_;
    relay_failures failed_listing_relays_;
    // A read of all of the operator's data
    struct operator_listing_progress
    {
        time_point begun_at;
        std::size_t bytes = 0;
        unsigned failures = 0;
    };

    // Whether all of the operator's data is being read, or read again
    bool lists_operator_ = false;
    // That read, if it has begun
    std::optional<operator_listing_progress> operator_listing_;
    // Watches that failed since the last one that did not
    unsigned failed_watches_ = 0;
    // Requests of other hosts in flight at plain endpoints
    std::map<endpoint_id, std::map<host_id, std::uint32_t>> others_in_flight_;
    // Engines with requests of this host in flight at the last report to their holders
    std::set<endpoint_id> busy_engines_;
    // When they are reported next
    time_point next_usage_reports_at_;
    // Engines that were passed to the fleet as resources
    std::set<endpoint_id> known_engines_;
    // Engines whose report is being read
    std::set<endpoint_id> pending_reports_;
    // Endpoints that are probed because an answer broke off
    std::set<endpoint_id> probed_endpoints_;
    // When the reports are read next
    time_point next_reports_at_;
    // When the views of peers are read next
    time_point next_peer_view_at_;
    // Whether `read_peer_operator` or `read_peer_listing` is waiting for a peer
    bool reading_peer_operator_ = false;
    bool reading_peer_listing_ = false;
    // When this host last read the listing from the store, and when it reads it next if
    // it does so regularly
    time_point last_listing_read_at_;
    time_point next_listing_read_at_;
    // Time behind which the listing should have been read, for a stream that is continued
    time_point listing_wanted_since_;
    // Entries of the last listing that name no endpoint
    std::set<std::string> ignored_entries_;
    // Whether the store is read because others do not give what they have
    store_fallback fallback_{times_.fallback};
    // Highest age of the listing since it became old; zero while it is not
    duration old_listing_age_{0};
    // Whether the last listing of the store succeeded
    bool store_reachable_ = true;
    // Whether the configuration was confirmed at the last run of the periodic tasks
    bool was_confirmed_ = true;
    // Organisations that metrics name
    bounded_labels organisation_labels_{max_organisation_labels};
    // Makes hashes of keys unpredictable for callers
    std::uint64_t const key_seed_ = std::random_device()();
    // Result of the last readiness probe
    bool was_ready_ = false;
    // Chooses the endpoints that are probed
    std::minstd_rand probe_random_;
    // Listeners that still have requests during the shutdown
    unsigned draining_listeners_ = 0;
    // When the process started
    time_point const started_at_ = boot_now();
    // Whether the node is shutting down
    bool stopping_ = false;
    // Whether the node has ended
    bool finished_ = false;
};

} // namespace marjorampath::serving

#include <serving/entry/entry_node.inl>
#include <serving/entry/entry_node_access.inl>
#include <serving/entry/entry_node_crashes.inl>
#include <serving/entry/entry_node_fleet.inl>
#include <serving/entry/entry_node_limits.inl>
#include <serving/entry/entry_node_reach.inl>
#include <serving/entry/entry_node_relay.inl>
#include <serving/entry/entry_node_streams.inl>
#include <serving/entry/entry_node_view.inl>
