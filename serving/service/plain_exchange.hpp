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

/// Forwards one request of a caller to a plain service and the answer back to the caller.
/// Both stay unchanged except for hop-by-hop header fields and headers addressed to this
/// program.
class plain_exchange
{
public:
    /// All arguments must outlive the exchange.
    plain_exchange(traffic_context& context, caller_session& session,
                   caller_request const& request);

    /// Runs the exchange until the caller has its answer or is gone.
    boost::asio::awaitable<void> run();

private:
    // How an attempt ended and what follows
    struct attempt_result
    {
        // Whether the exchange is complete: the caller has the whole answer or is gone
        bool is_final = false;
        // Next step if the exchange is not complete
        retry_step next = {};
        // Reason reported to the owner when the grant is released
        release_reason reason = release_reason::finished;
    };

    // Runs attempts until one ends the exchange
    boost::asio::awaitable<void> run_attempts();

    // Requests a grant; sets endpoint_ if one is granted
    boost::asio::awaitable<retry_step> request_grant();

    // Runs one attempt at endpoint_
    boost::asio::awaitable<attempt_result> run_attempt();

    // Reserves memory for so many bytes besides the request, if the host has it in time
    boost::asio::awaitable<bool> hold(std::size_t bytes);

    // Makes the request that is sent to the endpoint
    [[nodiscard]] caller_message make_endpoint_request() const;

    // Forwards the answer to the caller
    boost::asio::awaitable<attempt_result> forward_answer(answer_reader& reader);

    // Decides what follows when the attempt fails or is aborted
    attempt_result handle_failure(error_kind kind);

    // Answers the caller with the error of a request that is not retried any more
    boost::asio::awaitable<void> give_up(retry_step step);

    // Shared state of this thread; not owned
    traffic_context* context_;
    caller_session* session_;
    caller_request const* request_;
    // Aborts the exchange at its deadline or when the caller disconnects
    std::shared_ptr<exchange_control> control_;
    // Sheet in force when the exchange began; keeps contract_ valid
    std::shared_ptr<sheet const> sheet_;
    // The service's entry in the sheet
    service_contract const* contract_ = nullptr;
    // Deadline of the request
    time_point deadline_;
    // Whether the request may run more than once
    bool idempotent_ = false;
    // Number of grants requested so far
    std::uint32_t attempts_ = 0;
    // Decides whether to make another attempt
    std::optional<retry_decision> decision_;
    // Identifier of the current attempt and its grant request
    request_id attempt_;
    // Endpoint of the current attempt
    std::optional<directory_entry> endpoint_;
    // Whether the head of the answer was sent, at least in part
    bool head_sent_ = false;
};

} // namespace marjorampath::serving
