#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/service/hop_by_hop_fields.hpp>
#include <serving/service/plain_exchange.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Maximum size of an answer that is buffered until it is complete, in bytes. Nothing of
// it has reached the caller if the endpoint fails, so the request can be repeated
constexpr std::uint64_t max_buffered_answer_bytes = 65'536;
// Retry-After value in the answer to a request for which the host has no memory
constexpr auto full_retry_pause = std::chrono::seconds(1);

} // namespace

plain_exchange::plain_exchange(traffic_context& context, caller_session& session,
                               caller_request const& request)
    : context_(&context), session_(&session), request_(&request)
{
}

asio::awaitable<void> plain_exchange::run()
{
    sheet_ = context_->view.sheet_in_force;
    contract_ = sheet_ ? sheet_->find_service(request_->route.service) : nullptr;
    if (!contract_ || contract_->kind != service_kind::plain)
    {
        auto const kind = sheet_ ? error_kind::unknown_service : error_kind::no_sheet;
        auto reply = make_error_reply({.kind = kind, .message = {}});
        co_await session_->send(std::move(reply));
        co_return;
    }

    auto const method = request_->message->method_string();
    idempotent_ = !sheet_->is_non_idempotent(
        contract_->id, {method.data(), method.size()}, request_->route.target);
    decision_.emplace(
        retry_options{.idempotent = idempotent_,
                      .resumable = false,
                      .max_attempts = context_->callers.limits.max_attempts});

    // Abort the exchange at its deadline or when the caller disconnects
    auto const time_left =
        std::min<duration>(request_->deadline.value_or(contract_->deadline),
                           context_->callers.limits.max_deadline);
    deadline_ = boot_now() + time_left;
    auto* session = session_;
    control_ = std::make_shared<exchange_control>(context_->callers.loop.get_executor(),
                                                  [session] { session->cancel_write(); });
    control_->start_deadline(time_left);
    session_->watch_disconnect([control = control_]
                               { control->abort(error_kind::caller_gone); });

    // Each attempt sends a copy of the request
    if (co_await hold(request_->message->body().size()))
        co_await run_attempts();
    else
        co_await give_up({.action = retry_action::give_up,
                          .kind = error_kind::host_full,
                          .retry_after = full_retry_pause});

    session_->unwatch_disconnect();
    control_->finish();
}

asio::awaitable<bool> plain_exchange::hold(std::size_t bytes)
{
    if (session_->holds_answer(bytes))
        co_return true;
    control_->set_cancel_wait([this] { session_->cancel_hold(); });
    auto const refusal = co_await session_->hold_answer(bytes);
    control_->set_cancel_wait(nullptr);
    co_return refusal == error_kind::none;
}

asio::awaitable<void> plain_exchange::run_attempts()
{
    retry_step step{.action = retry_action::request_new_grant, .kind = error_kind::none};
    while (step.action != retry_action::give_up)
    {
        step = co_await request_grant();
        if (step.action == retry_action::give_up)
            break;
        if (!endpoint_)
            continue;
        auto const end = co_await run_attempt();
        context_->grants.release(
            {.request = attempt_, .endpoint = endpoint_->id, .reason = end.reason});
        if (end.is_final)
            co_return;
        step = end.next;
    }
    co_await give_up(step);
}

asio::awaitable<retry_step> plain_exchange::request_grant()
{
    attempt_ = context_->callers.next_request_id();
    endpoint_.reset();
    auto const target_hash = hash_bytes(request_->route.target);
    auto const body_hash = hash_bytes(request_->message->body());
    grant_request request{
        .request = attempt_,
        .entry = context_->host,
        .service = contract_->id,
        .team = contract_->team,
        .team_weight = contract_->weight,
        .endpoints = contract_->endpoints,
        .adapter = {},
        .fingerprint = fingerprint_id(
            hash_combine(contract_->id.number(), hash_combine(target_hash, body_hash))),
        .priority = request_->priority,
        .idempotent = idempotent_,
        .attempt = attempts_++,
        .deadline = deadline_,
        .sheet_number = sheet_->number(),
    };
    control_->set_cancel_wait([this, attempt = attempt_]
                              { context_->grants.cancel(attempt); });
    auto const reply = co_await context_->grants.request(request);
    control_->set_cancel_wait(nullptr);

    if (auto const* refusal = std::get_if<refuse_action>(&reply))
    {
        if (control_->reason() != error_kind::none)
            co_return decision_->on_deadline();
        co_return decision_->on_grant_refused(refusal->reason, refusal->retry_after);
    }

    // The endpoint may have left the directory in the meantime
    auto const& endpoints = *context_->view.endpoints;
    auto const found = endpoints.find(std::get<grant_action>(reply).endpoint);
    if (found == endpoints.end())
    {
        context_->grants.release({.request = attempt_,
                                  .endpoint = std::get<grant_action>(reply).endpoint,
                                  .reason = release_reason::refused});
        co_return decision_->on_connect_failed();
    }
    endpoint_ = found->second;
    co_return retry_step{.action = retry_action::request_new_grant,
                         .kind = error_kind::none};
}

asio::awaitable<plain_exchange::attempt_result> plain_exchange::run_attempt()
{
    // The endpoint may close an idle connection at any time, and it is then unknown
    // whether it ran a request that was written; so only idempotent requests use one
    endpoint_connection connection;
    if (idempotent_)
        connection = context_->connections.take_idle(*endpoint_);
    if (!connection)
    {
        connection = context_->connections.make_socket();
        if (!connection)
            co_return attempt_result{.next = decision_->on_connect_failed(),
                                     .reason = release_reason::refused};
        control_->set_connection(connection);
        auto const connect_error =
            co_await connection_pool::connect(connection, endpoint_->address);
        if (connect_error && control_->reason() != error_kind::none)
            co_return handle_failure(error_kind::endpoint_lost);
        if (connect_error)
            co_return attempt_result{.next = decision_->on_connect_failed(),
                                     .reason = release_reason::endpoint_lost};
    }
    control_->set_connection(connection);
    if (control_->reason() != error_kind::none)
        co_return handle_failure(error_kind::endpoint_lost);

    auto const message = make_endpoint_request();
    decision_->on_writing();
    error_code error;
    co_await http::async_write(*connection, message,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return handle_failure(error_kind::endpoint_lost);

    answer_reader reader(connection);
    if (request_->message->method() == http::verb::head)
        reader.expect_no_body();
    error = co_await reader.read_head();
    if (error)
        co_return handle_failure(reader.got_some() ? error_kind::endpoint_protocol
                                                   : error_kind::endpoint_lost);

    auto const end = co_await forward_answer(reader);
    control_->set_connection(nullptr);
    if (reader.keep_alive() && connection->is_open())
        context_->connections.put_back(*endpoint_, std::move(connection));
    co_return end;
}

caller_message plain_exchange::make_endpoint_request() const
{
    auto message = *request_->message;
    remove_hop_by_hop_fields(message);
    for (auto const* name : {"X-Service", "X-Deadline-Ms", "Expect"})
        message.erase(name);
    message.target({request_->route.target.data(), request_->route.target.size()});
    message.version(11);
    message.set("X-Request-Id", session_->request_name());
    message.prepare_payload();
    return message;
}

asio::awaitable<plain_exchange::attempt_result>
plain_exchange::forward_answer(answer_reader& reader)
{
    auto const& head = reader.get_head();
    std::string body;
    if (head.result() == http::status::service_unavailable && head["X-Draining"] == "1")
    {
        co_await reader.read_rest(body, max_buffered_answer_bytes);
        co_return attempt_result{.next = decision_->on_endpoint_refused(),
                                 .reason = release_reason::refused};
    }

    // A short answer is forwarded only when complete, so that the request can be repeated
    // if the answer is truncated; without memory for it, it is forwarded as it comes
    auto const length = reader.length();
    if (length && *length <= max_buffered_answer_bytes &&
        co_await hold(request_->message->body().size() + *length))
    {
        auto const error = co_await reader.read_rest(body, max_buffered_answer_bytes);
        if (error)
            co_return handle_failure(error_kind::endpoint_lost);
    }

    caller_session::answer_head forwarded_head;
    static_cast<http::fields&>(forwarded_head) = head;
    forwarded_head.result(head.result_int());
    forwarded_head.reason(head.reason());
    remove_hop_by_hop_fields(forwarded_head);
    auto const has_no_body = reader.is_done() && body.empty();
    if (!length && !has_no_body && session_->accepts_chunks())
        forwarded_head.chunked(true);
    if (!length && !session_->accepts_chunks())
        session_->close_after_answer();
    head_sent_ = true;
    if (co_await session_->send_head(std::move(forwarded_head)))
        control_->abort(error_kind::caller_gone);

    error_code error;
    while (control_->reason() == error_kind::none)
    {
        if (co_await session_->write_body(body))
            control_->abort(error_kind::caller_gone);
        body.clear();
        if (error || (reader.is_done() && !reader.has_buffered_body()))
            break;
        error = co_await reader.read_some(body);
    }
    if (error || control_->reason() != error_kind::none)
    {
        decision_->on_delivered(false);
        co_return handle_failure(error_kind::endpoint_lost);
    }
    co_await session_->finish_body();
    co_return attempt_result{.is_final = true};
}

plain_exchange::attempt_result plain_exchange::handle_failure(error_kind kind)
{
    // An attempt that was aborted by the caller or the deadline is not repeated
    if (control_->reason() == error_kind::caller_gone)
    {
        session_->close_after_answer();
        return {.is_final = true, .reason = release_reason::cancelled};
    }
    if (control_->reason() != error_kind::none)
        return {.next = decision_->on_deadline(), .reason = release_reason::cancelled};
    return {.next = decision_->on_interrupted(kind),
            .reason = release_reason::endpoint_lost};
}

asio::awaitable<void> plain_exchange::give_up(retry_step step)
{
    control_->finish();

    log_event(event::request_failed, "request", session_->request_name(), "service",
              contract_->name, "kind", answer_of(step.kind).name);

    // Once the head is sent no error can be reported; the truncated answer shows the
    // failure
    if (head_sent_ || control_->reason() == error_kind::caller_gone)
    {
        session_->close_after_answer();
        co_return;
    }
    auto reply = make_error_reply(
        {.kind = step.kind, .message = {}, .retry_after = step.retry_after});
    co_await session_->send(std::move(reply));
}

} // namespace marjorampath::serving
