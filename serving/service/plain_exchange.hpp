#pragma once

#include <marjorampath/request/retry_decision.hpp>
#include <marjorampath/sheet/service_contract.hpp>
#include <serving/caller/caller_request.hpp>
#include <serving/caller/exchange_control.hpp>
#include <serving/endpoint/answer_reader.hpp>
#include <serving/node/traffic_context.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace marjorampath::serving
{

class caller_session;

/// Passes one request of a caller to a plain service and the answer back, both unchanged
/// but for the fields that belong to one connection.
class plain_exchange
{
public:
    /// All arguments outlive the exchange.
    plain_exchange(traffic_context& context, caller_session& session,
                   caller_request const& request);

    /// Runs the exchange until the caller has its answer.
    boost::asio::awaitable<void> run();

private:
    // How an attempt ended
    struct attempt_result
    {
        // Whether the caller has the whole answer or is gone
        bool over = false;
        // What is done next otherwise
        retry_step next = {};
        // What the owner of the grant is told
        release_reason reason = release_reason::finished;
    };

    // Runs attempts until one ends the exchange
    boost::asio::awaitable<void> run_attempts();

    // Asks for a grant; sets endpoint_ where there is one
    boost::asio::awaitable<retry_step> request_grant();

    // Runs one attempt at endpoint_
    boost::asio::awaitable<attempt_result> run_attempt();

    // Makes the message for the endpoint
    [[nodiscard]] caller_message make_message() const;

    // Passes the answer on
    boost::asio::awaitable<attempt_result> relay(answer_reader& reader);

    // Decides behind a failure of the endpoint or its connection
    attempt_result cut(error_kind kind);

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
    // When the deadline passes
    time_point deadline_;
    // Whether the request may run more than once
    bool idempotent_ = false;
    // Grants asked for
    std::uint32_t attempts_ = 0;
    // Decides about attempts
    std::optional<retry_decision> decision_;
    // Identifier of the current attempt
    request_id attempt_;
    // Endpoint of the current attempt
    std::optional<directory_entry> endpoint_;
    // Whether the caller has the head of the answer
    bool head_sent_ = false;
};

} // namespace marjorampath::serving
