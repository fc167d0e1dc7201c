#pragma once

#include <marjorampath/dispatch/event_splitter.hpp>
#include <marjorampath/organisation/access_decision.hpp>
#include <marjorampath/organisation/organisation.hpp>
#include <marjorampath/organisation/request_priority.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/caller/exchange_control.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/endpoint/answer_reader.hpp>
#include <serving/endpoint/make_directory_entry.hpp>
#include <serving/endpoint/media_type.hpp>
#include <serving/entry/entry_context.hpp>
#include <serving/entry/entry_dialect.hpp>
#include <serving/entry/entry_request.hpp>
#include <serving/remote/receive_buffer.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// Serves one request of a caller: gets a decision of the dispatcher, sends the request
/// to an endpoint, forwards the answer, and retries at another endpoint where that is
/// allowed.
template <entry_dialect Dialect>
class entry_exchange
{
public:
    /// All arguments outlive the exchange. `forwarded` tells that another host passed the
    /// request on.
    entry_exchange(entry_context& context, caller_session& session,
                   caller_message const& message, bool forwarded = false)
        : context_(&context), session_(&session), message_(&message),
          forwarded_here_(forwarded), timer_(context.callers.loop)
    {
    }

    /// Serves the request.
    boost::asio::awaitable<void> run();

private:
    using error_code = boost::system::error_code;

    // Complete answer of an endpoint; a failure is kept while another endpoint is tried
    struct held_answer
    {
        // Head, without the fields that concern one connection
        caller_session::answer_head head;
        std::string body;
    };

    // Time limit of one step of an attempt; its timer may fire after the step has ended
    struct attempt_timeout
    {
        // Whether the step is still in progress
        bool armed = true;
        // Whether the limit ended the step
        bool expired = false;
    };

    // A connection that answered an attempt of this request
    struct used_connection
    {
        directory_entry endpoint;
        endpoint_connection connection;
        time_point idle_since;
    };

    // Largest answer that is held in memory, in bytes; bounds the memory of one request
    static constexpr std::size_t max_held_bytes = 4'194'304;
    // Largest body that is skipped, in bytes
    static constexpr std::size_t max_skipped_bytes = 65'536;
    // Most attempts of one request, including refused ones
    static constexpr unsigned max_sends = 5;
    // Most status requests before one decision; afterwards the decision is executed even
    // if the dispatcher wants the status confirmed again
    static constexpr unsigned max_status_requests = 2;
    // Most permits that are refused before the request is
    static constexpr unsigned max_refused_permits = 3;
    // Logged in place of a rate limit where none is in force
    static constexpr double no_rate_limit = -1;
    // Time for which an answer is not read after which its endpoint may cut it off
    static constexpr duration max_unread_time = std::chrono::seconds(1);
    // Most hosts that a request is passed to
    static constexpr std::size_t max_peers = 2;
    // Most waits of one request for its adapter
    static constexpr unsigned max_adapter_waits = 30;

    // Whether the request can be expected to end before the host ends those that run
    [[nodiscard]] bool fits_before_shutdown() const;
    // Decides by the configuration in force whether the request may run, and for which
    // organisation; `none` if it may
    error_kind check_access();
    // Whether an error is one of `check_access`
    static bool is_access_error(error_kind kind) noexcept;
    // Gets one decision of the dispatcher and executes it
    boost::asio::awaitable<void> step();
    // Refuses the request if its content or a part of its prompt crashed endpoints; true
    // if it did
    boost::asio::awaitable<bool> refuse_convicted();
    // Notes what the end of an attempt tells about the path to the service's endpoints
    void note_reach(attempt_end end);
    // Notes what the end of an attempt tells about the parts of the prompt
    void note_parts(endpoint_announcement const& endpoint, attempt_end end);
    // Waits for the adapter until the decision should be made again
    boost::asio::awaitable<void> await_adapter(dispatch_decision const& decision);
    // Waits for a time, or until the timers of this key are cancelled
    template <class Key>
    boost::asio::awaitable<void> wait_until_notified(waiting_timers<Key>& timers, Key key,
                                                     duration time);
    // Requests an engine's current status from its lease holder and waits for it
    boost::asio::awaitable<void> request_status(endpoint_id engine);
    // Makes one attempt at an endpoint, if the retry budget allows it, and handles its
    // end
    boost::asio::awaitable<void> attempt(endpoint_announcement endpoint);
    // Connects to the endpoint, sends the request and reads the answer
    boost::asio::awaitable<attempt_end>
    send_and_receive(endpoint_announcement const& endpoint);
    // Keeps the current connection for other requests
    void keep_connection(directory_entry const& entry, attempt_end end);
    // Returns the connections that this request may not use again to the pool
    void release_connections();
    // Takes an idle connection to an endpoint or opens one; false if that fails
    boost::asio::awaitable<bool> connect(directory_entry const& endpoint,
                                         duration timeout);
    // Resets the state of the attempt before
    void begin_attempt();
    // Closes the connection of an attempt, unless it was returned to the pool
    void end_attempt();
    // Takes one retry out of the service's budget; false if there is none
    bool take_retry();
    // Chooses another host that can serve the request
    [[nodiscard]] std::optional<peer_address> choose_peer() const;
    // Whether a refusal is due to this host's links: no endpoint of the service is left
    // that it can connect to
    [[nodiscard]] bool has_lost_reach(dispatch_decision const& decision) const;
    // Has another host serve the request, and handles the end of that
    boost::asio::awaitable<void> forward(peer_address peer);
    // Sends the request to another host and forwards its answer
    boost::asio::awaitable<attempt_end> send_to_peer(peer_address peer);
    boost::asio::awaitable<attempt_end> process_peer_answer(answer_reader& reader);
    // Reads the answer to this request, skipping answers to other requests
    boost::asio::awaitable<attempt_end> read_answer(endpoint_announcement const& endpoint,
                                                    directory_entry const& entry);
    // Finds the software version that must continue the caller's stream; refuses the
    // request if that is not known
    boost::asio::awaitable<void> find_origin();
    // Asks this host and others for the software version that began a stream
    boost::asio::awaitable<origin_finding> query_origin();
    // Waits for a listing of the endpoints that was read after this request arrived: only
    // that one has each version that can have begun the stream. False if there is none
    boost::asio::awaitable<bool> await_listing();
    // The caller's organisation; empty for none
    [[nodiscard]] std::string const& quota_organisation() const;
    // Counts the request in its organisation's quota, or returns the time after which the
    // caller may come back
    std::optional<duration> take_quota();
    // Gives back what the request took if it certainly has not run
    void give_back_quota();
    // The question for the software version that began the stream
    [[nodiscard]] stream_question make_stream_question() const;
    // Asks one kind of evidence for that version, and waits for it
    boost::asio::awaitable<origin_finding>
    await_finding(std::function<origin_finding(stream_question const&)> const& judge);
    // Lets only the software version of the current endpoint continue the stream
    void pin_software_version();
    // Makes an attempt; at an endpoint that limits its rate only with a permit, else
    // leaves the request for the next decision or refuses it
    boost::asio::awaitable<void> attempt_with_permit(endpoint_announcement endpoint);
    // Obtains a permit for one request; false if it was refused
    boost::asio::awaitable<bool> acquire_permit(endpoint_announcement const& endpoint);
    // Notes the pause that the current endpoint's refusal asks for
    void note_requested_pause(endpoint_announcement const& endpoint,
                              answer_reader::head const& head);
    // Notes the request rate that the current endpoint's answer names, or that it names
    // none any more
    void note_rate_limit(endpoint_announcement const& endpoint,
                         answer_reader::head const& head);
    // Reads and ignores a body, for a short time; false if it does not end
    boost::asio::awaitable<bool> skip_body(answer_reader& reader);
    // How an attempt ends whose answer broke off with an error, `otherwise` unless a part
    // of the answer exceeded its limit
    [[nodiscard]] attempt_end end_of_broken(error_code error,
                                            attempt_end otherwise) const;
    // Reads the body after a head and delivers the answer, or holds a failure
    boost::asio::awaitable<attempt_end> process_answer(answer_reader& reader,
                                                       bool success);
    // Reads the rest of a body as fast as there is memory for it
    boost::asio::awaitable<error_code> read_whole(answer_reader& reader,
                                                  std::string& body);
    // Waits for the memory for an answer of so many bytes; without it the request is
    // aborted. False then
    boost::asio::awaitable<bool> hold_answer(std::size_t bytes);
    // Forwards a stream of events
    boost::asio::awaitable<attempt_end> forward_stream(answer_reader& reader);
    // Forwards whole events, after the head if none was sent; false if the caller is gone
    boost::asio::awaitable<bool> forward_events(answer_reader const& reader,
                                                std::string const& events);
    // Logs an attempt that ended; one that broke off with what its request has in common
    // with others
    void log_attempt(endpoint_announcement const& endpoint, attempt_end end,
                     std::optional<double> limit) const;
    // The end of an attempt whose connection failed: `cancelled` or `timed_out` if that
    // is what closed it, else `end`
    [[nodiscard]] attempt_end end_after_failure(attempt_end end) const;
    // Handles the end of an attempt: answers the request or leaves it for the next step
    boost::asio::awaitable<void> on_end(endpoint_announcement const& endpoint,
                                        attempt_end end);
    // Sends a complete answer to the caller
    boost::asio::awaitable<void> deliver(held_answer answer);
    // Ends the request without a successful answer: cuts a stream that has begun, sends
    // an endpoint's failure that is held, or else rejects the request
    boost::asio::awaitable<void> conclude_failed(error_kind kind, duration retry_after);
    // Ends a request that its deadline, its caller or the end of the host aborted
    boost::asio::awaitable<void> conclude_aborted();
    // Sends an error answer of this host
    boost::asio::awaitable<void> reject(error_kind kind, duration retry_after);
    // Closes the current connection if the step takes longer than this
    void start_attempt_timeout(duration time);
    // Removes the time limit of the current step
    void cancel_attempt_timeout();
    // Whether another attempt is allowed after one that may have run the request
    [[nodiscard]] bool may_run_again() const;
    // Whether the attempt may be abandoned for another endpoint: the request is safe, has
    // an attempt left, and an untried endpoint exists
    [[nodiscard]] bool has_other_endpoint() const;

    // Reports the requests in flight at the current engine to its lease holder
    void report_current_usage()
    {
        if (!request_.dispatch_call.model.empty())
            context_->report_usage(current_endpoint_, false);
    }

    // Whether the deadline or the caller ended the exchange
    [[nodiscard]] bool aborted() const
    {
        return control_->reason() != error_kind::none;
    }

    // State of all exchanges of the host
    entry_context* context_;
    // The caller's connection
    caller_session* session_;
    // The caller's request
    caller_message const* message_;
    // The parsed request
    entry_request request_;
    // Aborts the exchange at its deadline, when the caller is gone or the host ends
    std::shared_ptr<exchange_control> control_;
    // Whether another host passed the request on
    bool forwarded_here_;
    // Ends a step of an attempt, or a wait
    boost::asio::steady_timer timer_;
    // Time limit of the current step of an attempt
    std::shared_ptr<attempt_timeout> timeout_;
    // Connection to the endpoint in use
    endpoint_connection connection_;
    // Whether it answered another request before
    bool connection_reused_ = false;
    // Connections on which attempts were refused. Another copy of such a refusal would
    // answer the next attempt, as all attempts of a request have the caller's identifier
    std::vector<used_connection> used_connections_;
    // Endpoint of the current attempt
    endpoint_id current_endpoint_;
    // Software version that it announced when the attempt began
    std::string current_software_version_;
    // What it took of its organisation's quota
    double quota_units_ = 0;
    // Whether an endpoint ran the request to an end
    bool has_run_ = false;
    // The stream whose origin other hosts remember, once it has begun
    std::optional<stream_id> open_stream_;
    // Hosts that the request was passed to
    std::vector<peer_address> tried_peers_;
    // Whether the current attempt is at another host
    bool at_peer_ = false;
    // Whether the answer began at another host, which alone can find its origin
    bool begun_by_peer_ = false;
    // Endpoints that are excluded from further attempts
    std::vector<endpoint_id> excluded_endpoints_;
    // Splits the stream into events, over all attempts
    event_splitter events_{{}};
    // Whether the current attempt received any byte
    bool endpoint_answered_ = false;
    // Whether the current attempt received the first bytes of its answer
    bool answer_started_ = false;
    // Whether the head was sent to the caller
    bool head_sent_ = false;
    // Media type of a stream whose head was sent to the caller
    std::string stream_type_;
    // Whether the request was answered or failed
    bool concluded_ = false;
    // When the current attempt's request was sent
    time_point sent_at_;
    // Last event that the caller had when the current attempt began
    std::uint64_t attempt_after_event_ = 0;
    // Whether the end of the current answer can be told from a lost connection
    bool answer_framed_ = false;
    // When the first events of the current attempt were forwarded
    time_point first_events_at_;
    // When the last events of the current attempt were forwarded
    time_point last_events_at_;
    // Longest time for which the current attempt did not read what the endpoint sent
    duration longest_unread_{0};
    // Longest pause between events of the current attempt
    duration longest_pause_{0};
    // Attempts that were sent to an endpoint
    unsigned sends_ = 0;
    // Attempts after which the request may have run
    unsigned possible_runs_ = 0;
    // Waits for the adapter so far
    unsigned adapter_waits_ = 0;
    // Status requests since the last decision
    unsigned status_requests_ = 0;
    // Refused permits so far
    unsigned refused_permits_ = 0;
    // When serving the request began
    time_point begin_;
    // An endpoint's failure, sent to the caller if no other attempt succeeds
    std::optional<held_answer> fallback_;
};

} // namespace marjorampath::serving

#include <serving/entry/entry_exchange.inl>
#include <serving/entry/entry_exchange_access.inl>
#include <serving/entry/entry_exchange_answer.inl>
#include <serving/entry/entry_exchange_crashes.inl>
#include <serving/entry/entry_exchange_forward.inl>
#include <serving/entry/entry_exchange_limits.inl>
#include <serving/entry/entry_exchange_origin.inl>
#include <serving/entry/entry_exchange_quota.inl>
