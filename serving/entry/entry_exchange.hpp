#pragma once

#include <marjorampath/dispatch/event_splitter.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/caller/exchange_control.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/endpoint/announced_place.hpp>
#include <serving/endpoint/answer_reader.hpp>
#include <serving/entry/entry_context.hpp>
#include <serving/entry/entry_dialect.hpp>
#include <serving/entry/entry_request.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// Carries one request of a caller through an entry host: asks the dispatcher, sends it,
/// passes the answer on, and goes elsewhere where that is allowed.
template <entry_dialect Dialect>
class entry_exchange
{
public:
    /// All arguments outlive the exchange.
    entry_exchange(entry_context& context, caller_session& session,
                   caller_message const& message)
        : context_(&context), session_(&session), message_(&message),
          timer_(context.callers.loop)
    {
    }

    /// Serves the request.
    boost::asio::awaitable<void> run();

private:
    using error_code = boost::system::error_code;

    // An endpoint's answer that is held until it is known whether a better one comes
    struct held_answer
    {
        // Head, without what concerns one connection
        caller_session::answer_head head;
        // Body
        std::string body;
    };

    // A limit in time; its timer may fire when the exchange has gone on already
    struct attempt_timeout
    {
        // Whether the step that it limits is still under way
        bool armed = true;
        // Whether it ended the step
        bool expired = false;
    };

    // Largest answer that is held whole, in bytes: bounds the memory of one request
    static constexpr std::size_t max_held_bytes = 4'194'304;
    // Answers to other requests that are read past on one connection
    static constexpr unsigned max_skipped_answers = 2;
    // Sends of one request, those that were refused included
    static constexpr unsigned max_sends = 5;
    // Questions for the state of engines; the last decision stands
    static constexpr unsigned max_status_requests = 2;
    // Looks at an adapter that is being loaded
    static constexpr unsigned max_adapter_waits = 30;

    // Decides and acts once
    boost::asio::awaitable<void> step();
    // Waits until the decision should be made again
    boost::asio::awaitable<void> await_adapter(dispatch_decision const& decision);
    // Waits for some time, or until the timers of a key are cancelled
    template <class Key>
    boost::asio::awaitable<void> wait_until_notified(waiting_timers<Key>& timers, Key key,
                                                     duration time);
    // Asks an engine's lease holder for its present state
    boost::asio::awaitable<void> confirm(endpoint_id engine);
    // Sends the request to an endpoint and takes the answer
    boost::asio::awaitable<void> attempt(endpoint_announcement endpoint);
    // The part of an attempt that uses the connection
    boost::asio::awaitable<attempt_end> exchange(endpoint_announcement const& endpoint);
    // Gets a connection to an endpoint
    boost::asio::awaitable<bool> connect(directory_entry const& endpoint);
    // Reads heads until the one of this request
    boost::asio::awaitable<attempt_end> read_answer(endpoint_announcement const& endpoint,
                                                    directory_entry const& place);
    // Takes an answer whose head was read
    boost::asio::awaitable<attempt_end> take_answer(answer_reader& reader, bool success);
    // Passes a stream of events on
    boost::asio::awaitable<attempt_end> forward_stream(answer_reader& reader);
    // Passes whole events on; false where the caller is gone
    boost::asio::awaitable<bool> forward_events(answer_reader const& reader,
                                                std::string const& events);
    // Ends an attempt that broke, by what ended it
    [[nodiscard]] attempt_end broken(attempt_end end) const;
    // Takes the end of an attempt
    boost::asio::awaitable<void> on_end(endpoint_announcement const& endpoint,
                                        attempt_end end);
    // Gives the held answer to the caller
    boost::asio::awaitable<void> deliver(held_answer answer);
    // Ends the request without an endpoint's answer
    boost::asio::awaitable<void> conclude(error_kind kind, duration retry_after);
    // Ends a request that was ended from outside
    boost::asio::awaitable<void> conclude_aborted();
    // Answers with an error of this host
    boost::asio::awaitable<void> reject(error_kind kind, duration retry_after);
    // Starts the timer that ends the present connection
    void start_attempt_timeout(duration time);
    // Lifts the limit of the present step
    void cancel_attempt_timeout();
    // Whether one more run of the request is allowed
    [[nodiscard]] bool may_run_again() const;
    // Whether an idempotent request should try a second endpoint before its time is over
    [[nodiscard]] bool has_other_endpoint() const;

    // Tells the present engine's lease holder what this host has in flight there
    void report_current_usage()
    {
        if (!request_.asked.model.empty())
            context_->report_usage(current_endpoint_, false);
    }

    // Whether the exchange was ended from outside
    [[nodiscard]] bool aborted() const
    {
        return control_->reason() != error_kind::none;
    }

    // Shared objects
    entry_context* context_;
    // The caller's connection
    caller_session* session_;
    // The caller's request
    caller_message const* message_;
    // The request as it was read
    entry_request request_;
    // Ends the exchange from outside
    std::shared_ptr<exchange_control> control_;
    // Ends an attempt, or a wait
    boost::asio::steady_timer timer_;
    // The limit of the present step of an attempt
    std::shared_ptr<attempt_timeout> limit_;
    // The connection in use
    endpoint_connection connection_;
    // Endpoint of the present attempt
    endpoint_id current_endpoint_;
    // Endpoints not to be used again
    std::vector<endpoint_id> tried_;
    // The stream's events
    event_splitter events_{{}};
    // Whether the present attempt brought the answer's first byte
    bool answer_started_ = false;
    // Whether the head was sent to the caller
    bool head_sent_ = false;
    // Whether the request is answered or given up
    bool concluded_ = false;
    // When the last events of the present attempt were passed on
    time_point last_events_at_;
    // Longest pause between two of them
    duration longest_pause_{0};
    // Sends so far
    unsigned sends_ = 0;
    // Sends after which the request may have run
    unsigned runs_ = 0;
    // Waits for an adapter so far
    unsigned adapter_waits_ = 0;
    // Questions for the state of engines so far
    unsigned status_requests_ = 0;
    // When the request was read
    time_point begin_;
    // An endpoint's failure that is given if nothing better comes
    std::optional<held_answer> fallback_;
};

} // namespace marjorampath::serving

#include <serving/entry/entry_exchange.inl>
