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

/// Carries one generation request of a caller to engines and the answer back.
class model_exchange
{
public:
    /// All arguments outlive the exchange.
    model_exchange(traffic_context& context, caller_session& session,
                   caller_request const& request);

    /// Runs the exchange until the caller has its answer.
    boost::asio::awaitable<void> run();

private:
    // How an attempt ended
    struct attempt_result
    {
        // Whether the caller has the whole answer, or a final error, or is gone
        bool over = false;
        // What is done next otherwise
        retry_step next = {};
        // What the owner of the grant is told
        release_reason reason = release_reason::finished;
    };

    // Checks the request against the sheet; sets problem_ where it is refused
    bool resolve();

    // Runs attempts until one ends the exchange
    boost::asio::awaitable<void> run_attempts();

    // Asks for a grant; sets endpoint_ where there is one
    boost::asio::awaitable<retry_step> request_grant();

    // Runs one attempt, or a resumption, at endpoint_
    boost::asio::awaitable<attempt_result> run_attempt(bool resuming);

    // Sends the request
    boost::asio::awaitable<boost::system::error_code>
    send_request(endpoint_connection connection, bool resuming);

    // Deals with the answer's head and body
    boost::asio::awaitable<attempt_result> take_answer(answer_reader& reader,
                                                       bool resuming);

    // Passes on an answer that is no success
    boost::asio::awaitable<attempt_result> take_error(answer_reader& reader);

    // Passes on an event stream
    boost::asio::awaitable<attempt_result> relay_stream(answer_reader& reader);

    // Passes on a whole answer
    boost::asio::awaitable<attempt_result> relay_whole(answer_reader& reader);

    // Decides behind a failure of the endpoint or its connection
    attempt_result cut(error_kind kind, bool resuming);

    // Gives the grant back
    void release(release_reason reason);

    // Tells the caller that the request is given up on
    boost::asio::awaitable<void> give_up(retry_step step);

    // Shared objects of this thread
    traffic_context* context_;
    // The caller's connection
    caller_session* session_;
    // The caller's request
    caller_request const* request_;
    // Ends the exchange from outside
    std::shared_ptr<exchange_control> control_;
    // Sheet that the request was resolved by
    std::shared_ptr<sheet const> sheet_;
    // Service
    service_contract const* contract_ = nullptr;
    // Adapter version
    adapter_assignment const* adapter_ = nullptr;
    // Body of the request
    generation_body body_;
    // Form of the request
    generation_route route_ = generation_route::completions;
    // Why the request is refused at once
    error_kind problem_ = error_kind::none;
    // Sentence for the caller; empty for the kind's own
    std::string problem_text_;
    // When the deadline passes
    time_point deadline_;
    // Whether the request may run more than once
    bool idempotent_ = false;
    // Grants asked for
    std::uint32_t attempts_ = 0;
    // Decides about attempts
    std::optional<retry_decision> decision_;
    // Events that were passed on
    event_stream events_;
    // Identifier of the current attempt
    request_id attempt_;
    // Endpoint of the current attempt
    std::optional<directory_entry> endpoint_;
    // Whether the caller has the head of the answer
    bool head_sent_ = false;
};

} // namespace marjorampath::serving
