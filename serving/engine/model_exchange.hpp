#pragma once

#include <marjorampath/request/retry_decision.hpp>
#include <marjorampath/sheet/adapter_assignment.hpp>
#include <marjorampath/sheet/service_contract.hpp>
#include <serving/caller/caller_request.hpp>
#include <serving/caller/exchange_control.hpp>
#include <serving/endpoint/answer_reader.hpp>
#include <serving/engine/engine_dialect.hpp>
#include <serving/engine/event_stream.hpp>
#include <serving/node/traffic_context.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace marjorampath::serving
{

class caller_session;

/// Runs one generation request: gets grants, forwards the request to engines and relays
/// the answer to the caller.
class model_exchange
{
public:
    /// All arguments must outlive the exchange.
    model_exchange(traffic_context& context, caller_session& session,
                   caller_request const& request);

    /// Completes when the caller has its answer or an error, or has disconnected.
    boost::asio::awaitable<void> run();

private:
    // Outcome of an attempt
    struct attempt_result
    {
        // Whether the exchange is complete: the answer or a final error was sent, or the
        // caller has disconnected
        bool is_final = false;
        // Next step if the exchange is not complete
        retry_step next = {};
        // Reported to the owner when the grant is released
        release_reason reason = release_reason::finished;
    };

    // Checks the request against the sheet; on failure returns false and sets rejection_
    bool resolve();

    // Runs attempts until one ends the exchange
    boost::asio::awaitable<void> run_attempts();

    // Whether so many bytes besides the request and its copy are reserved
    [[nodiscard]] bool holds(std::size_t bytes) const;

    // Reserves memory for so many bytes besides the request and its copy, if the host has
    // it in time
    boost::asio::awaitable<bool> hold(std::size_t bytes);

    // Reserves memory for what is kept of a stream; gives up the delivered text if there
    // is none, so that only a restart becomes impossible
    boost::asio::awaitable<bool> hold_stream();

    // Reads the rest of an answer that is not streamed
    boost::asio::awaitable<boost::system::error_code> read_whole(answer_reader& reader,
                                                                 std::string& document);

    // Requests a grant; sets endpoint_ if one is granted
    boost::asio::awaitable<retry_step> request_grant();

    // Runs one attempt or resumption at endpoint_
    boost::asio::awaitable<attempt_result> run_attempt(bool resuming);

    // Sends the request to the engine
    boost::asio::awaitable<boost::system::error_code>
    send_request(endpoint_connection connection, bool resuming);

    // Relays a successful answer or handles an error
    boost::asio::awaitable<attempt_result> handle_answer(answer_reader& reader,
                                                         bool resuming);

    // Handles an answer with an error status
    boost::asio::awaitable<attempt_result> handle_error_answer(answer_reader& reader);

    // Relays an event stream
    boost::asio::awaitable<attempt_result> relay_stream(answer_reader& reader);

    // Relays an answer that is not streamed
    boost::asio::awaitable<attempt_result> relay_whole(answer_reader& reader);

    // Decides what follows a failure of the endpoint or its connection, or an abort
    attempt_result handle_interruption(error_kind kind, bool resuming);

    // Releases the grant of the current attempt
    void release(release_reason reason);

    // Reports the failure to the caller
    boost::asio::awaitable<void> give_up(retry_step step);

    // Shared by the exchanges of this thread
    traffic_context* context_;
    // The caller's connection
    caller_session* session_;
    // The caller's request
    caller_request const* request_;
    // Aborts the exchange at the deadline or when the caller disconnects
    std::shared_ptr<exchange_control> control_;
    // Sheet that the request was resolved against; kept alive for the pointers below
    std::shared_ptr<sheet const> sheet_;
    // Service in the sheet
    service_contract const* contract_ = nullptr;
    // Adapter version in the sheet
    adapter_assignment const* adapter_ = nullptr;
    // Parsed body of the request
    generation_body body_;
    // Route of the request
    generation_route route_ = generation_route::completions;
    // Why `resolve` rejected the request
    error_kind rejection_ = error_kind::none;
    // Error message for the caller; empty for the default message of the error kind
    std::string error_message_;
    // Deadline of the request
    time_point deadline_;
    // Whether the request may be executed more than once
    bool idempotent_ = false;
    // Number of grants requested
    std::uint32_t attempts_ = 0;
    // Decides about retries
    std::optional<retry_decision> decision_;
    // Filters the event stream across attempts
    event_stream events_;
    // Identifier of the current attempt
    request_id attempt_;
    // Endpoint of the current attempt
    std::optional<directory_entry> endpoint_;
    // Whether the head of the answer was sent to the caller
    bool head_sent_ = false;
    // Media type of a stream whose head was sent
    std::string stream_type_;
};

} // namespace marjorampath::serving
