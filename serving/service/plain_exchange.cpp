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

// Largest answer that is held until it is whole, so that a cut one can be repeated
constexpr std::uint64_t held_answer_bytes = 65'536;

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

    // The exchange ends at its deadline or with its caller
    auto const time_left =
        std::min<duration>(request_->deadline.value_or(contract_->deadline),
                           context_->callers.limits.max_deadline);
    deadline_ = boot_now() + time_left;
    auto* session = session_;
    control_ = std::make_shared<exchange_control>(context_->callers.loop.get_executor(),
                                                  [session] { session->cancel_write(); });
    control_->start_deadline(time_left);
    session_->watch([control = control_] { control->abort(error_kind::caller_gone); });

    co_await run_attempts();

    session_->unwatch();
    control_->finish();
}

asio::awaitable<void> plain_exchange::run_attempts()
{
    retry_step step{.act = retry_action::request_new_grant, .kind = error_kind::none};
    while (step.act != retry_action::give_up)
    {
        step = co_await request_grant();
        if (step.act == retry_action::give_up)
            break;
        if (!endpoint_)
            continue;
        auto const end = co_await run_attempt();
        context_->grants.release(
            {.request = attempt_, .endpoint = endpoint_->id, .reason = end.reason});
        if (end.over)
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
    grant_request question{
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
    control_->set_cancel_wait([this, asked = attempt_]
                              { context_->grants.cancel(asked); });
    auto const reply = co_await context_->grants.request(question);
    control_->set_cancel_wait(nullptr);

    if (auto const* refusal = std::get_if<refuse_action>(&reply))
    {
        if (control_->reason() != error_kind::none)
            co_return decision_->on_deadline();
        co_return decision_->on_grant_refused(refusal->reason, refusal->retry_after);
    }

    // The endpoint may have left the list since
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
    co_return retry_step{.act = retry_action::request_new_grant,
                         .kind = error_kind::none};
}

asio::awaitable<plain_exchange::attempt_result> plain_exchange::run_attempt()
{
    // A kept connection may be closed by the endpoint at any time, after which nobody can
    // tell whether it ran what was written; so only idempotent requests use one
    endpoint_connection connection;
    if (idempotent_)
        connection = context_->connections.take_idle(*endpoint_);
    if (!connection)
    {
        connection = context_->connections.make_socket();
        control_->set_connection(connection);
        auto const failed =
            co_await connection_pool::connect(connection, endpoint_->address);
        if (failed && control_->reason() != error_kind::none)
            co_return cut(error_kind::endpoint_lost);
        if (failed)
            co_return attempt_result{.next = decision_->on_connect_failed(),
                                     .reason = release_reason::endpoint_lost};
    }
    control_->set_connection(connection);
    if (control_->reason() != error_kind::none)
        co_return cut(error_kind::endpoint_lost);

    auto const message = make_message();
    decision_->on_writing();
    error_code error;
    co_await http::async_write(*connection, message,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return cut(error_kind::endpoint_lost);

    answer_reader reader(connection);
    if (request_->message->method() == http::verb::head)
        reader.expect_no_body();
    error = co_await reader.read_head();
    if (error)
        co_return cut(reader.got_some() ? error_kind::endpoint_protocol
                                        : error_kind::endpoint_lost);

    auto const end = co_await relay(reader);
    control_->set_connection(nullptr);
    if (reader.keep_alive() && connection->is_open())
        context_->connections.put_back(*endpoint_, std::move(connection));
    co_return end;
}

caller_message plain_exchange::make_message() const
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
plain_exchange::relay(answer_reader& reader)
{
    auto const& head = reader.get_head();
    std::string held;
    if (head.result() == http::status::service_unavailable && head["X-Draining"] == "1")
    {
        co_await reader.read_rest(held, held_answer_bytes);
        co_return attempt_result{.next = decision_->on_endpoint_refused(),
                                 .reason = release_reason::refused};
    }

    // A short answer is passed on when it is whole, so that a cut one can be repeated
    auto const length = reader.length();
    if (length && *length <= held_answer_bytes)
    {
        auto const error = co_await reader.read_rest(held, held_answer_bytes);
        if (error)
            co_return cut(error_kind::endpoint_lost);
    }

    caller_session::answer_head passed;
    static_cast<http::fields&>(passed) = head;
    passed.result(head.result_int());
    passed.reason(head.reason());
    remove_hop_by_hop_fields(passed);
    auto const bodiless = reader.is_done() && held.empty();
    if (!length && !bodiless && session_->accepts_chunks())
        passed.chunked(true);
    if (!length && !session_->accepts_chunks())
        session_->cut();
    head_sent_ = true;
    if (co_await session_->begin(std::move(passed)))
        control_->abort(error_kind::caller_gone);

    error_code error;
    while (control_->reason() == error_kind::none)
    {
        if (co_await session_->write(held))
            control_->abort(error_kind::caller_gone);
        held.clear();
        if (error || (reader.is_done() && !reader.has_buffered_body()))
            break;
        error = co_await reader.read_some(held);
    }
    if (error || control_->reason() != error_kind::none)
    {
        decision_->on_delivered(false);
        co_return cut(error_kind::endpoint_lost);
    }
    co_await session_->finish();
    co_return attempt_result{.over = true};
}

plain_exchange::attempt_result plain_exchange::cut(error_kind kind)
{
    // A run that is ended from outside is not repeated
    if (control_->reason() == error_kind::caller_gone)
    {
        session_->cut();
        return {.over = true, .reason = release_reason::cancelled};
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

    // Behind the head nothing can be said any more; the answer ends without its end
    if (head_sent_ || control_->reason() == error_kind::caller_gone)
    {
        session_->cut();
        co_return;
    }
    auto reply = make_error_reply(
        {.kind = step.kind, .message = {}, .retry_after = step.retry_after});
    co_await session_->send(std::move(reply));
}

} // namespace marjorampath::serving
