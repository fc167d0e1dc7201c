#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/endpoint/media_type.hpp>
#include <serving/engine/model_exchange.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

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

// Maximum size of an error document that is read from an engine
constexpr std::size_t max_error_bytes = 65'536;
// Length to which an engine's error message is truncated for the caller
constexpr std::size_t max_message_bytes = 300;
// Retry-After value in the answer to a request for which the host has no memory
constexpr auto full_retry_pause = std::chrono::seconds(1);

// The message in an engine's error document; empty if there is none
std::string engine_message(std::string_view document)
{
    error_code error;
    auto const value = boost::json::parse(
        boost::json::string_view(document.data(), document.size()), error);
    if (error)
        return {};
    auto const* message = value.find_pointer("/error/message", error);
    if (!message)
        message = value.find_pointer("/message", error);
    if (!message || !message->is_string())
        return {};
    return std::string(message->get_string()).substr(0, max_message_bytes);
}

} // namespace

model_exchange::model_exchange(traffic_context& context, caller_session& session,
                               caller_request const& request)
    : context_(&context), session_(&session), request_(&request)
{
}

bool model_exchange::resolve()
{
    auto const reject = [this](error_kind kind)
    {
        rejection_ = kind;
        return false;
    };
    sheet_ = context_->view.sheet_in_force;
    if (!sheet_)
        return reject(error_kind::no_sheet);
    contract_ = sheet_->find_service(request_->route.service);
    if (!contract_ || contract_->kind != service_kind::model)
        return reject(error_kind::unknown_service);

    route_ = request_->route.kind == route_kind::completions
                 ? generation_route::completions
                 : generation_route::chat_completions;
    auto body = read_generation_body(route_, request_->message->body(), error_message_);
    if (!body)
        return reject(error_kind::malformed_request);
    body_ = std::move(*body);
    if (body_.streamed && !session_->accepts_chunks())
    {
        error_message_ = "A stream needs HTTP/1.1.";
        return reject(error_kind::malformed_request);
    }

    adapter_ = sheet_->find_adapter(contract_->id, body_.model);
    return adapter_ ? true : reject(error_kind::unknown_adapter);
}

asio::awaitable<void> model_exchange::run()
{
    if (!resolve())
    {
        auto reply = make_error_reply({.kind = rejection_, .message = error_message_});
        co_await session_->send(std::move(reply));
        co_return;
    }

    idempotent_ =
        !sheet_->is_non_idempotent(contract_->id, "POST", request_->route.target);
    decision_.emplace(
        retry_options{.idempotent = idempotent_,
                      .resumable = body_.streamed,
                      .max_attempts = context_->callers.limits.max_attempts});
    events_ = event_stream({.keep_text = idempotent_ && body_.continuable});

    // The exchange is aborted at its deadline or when the caller disconnects
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
    if (co_await hold(0))
        co_await run_attempts();
    else
        co_await give_up({.action = retry_action::give_up,
                          .kind = error_kind::host_full,
                          .retry_after = full_retry_pause});

    session_->unwatch_disconnect();
    control_->finish();
}

bool model_exchange::holds(std::size_t bytes) const
{
    return session_->holds_answer(request_->message->body().size() + bytes);
}

asio::awaitable<bool> model_exchange::hold(std::size_t bytes)
{
    if (holds(bytes))
        co_return true;
    control_->set_cancel_wait([this] { session_->cancel_hold(); });
    auto const refusal =
        co_await session_->hold_answer(request_->message->body().size() + bytes);
    control_->set_cancel_wait(nullptr);
    co_return refusal == error_kind::none;
}

asio::awaitable<bool> model_exchange::hold_stream()
{
    auto held = co_await hold(events_.held_bytes() + answer_read_bytes);
    if (!held)
    {
        events_.drop_text();
        held = co_await hold(events_.held_bytes() + answer_read_bytes);
    }
    co_return held;
}

asio::awaitable<error_code> model_exchange::read_whole(answer_reader& reader,
                                                       std::string& document)
{
    // An announced length is reserved at once: of many answers that each hold a part of
    // the memory, none could be completed
    auto const limit = context_->callers.limits.max_whole_answer_bytes;
    if (auto const length = reader.length(); length && *length <= limit)
    {
        if (!co_await hold(*length + answer_read_bytes))
            co_return asio::error::no_memory;
        document.reserve(*length);
    }
    error_code error;
    while (!error && (reader.has_buffered_body() || !reader.is_done()))
    {
        auto const bytes = document.size() + answer_read_bytes;
        if (!holds(bytes) && !co_await hold(bytes))
            co_return asio::error::no_memory;
        error = co_await reader.read_some(document);
        if (document.size() > limit)
            error = http::error::body_limit;
    }
    co_return error;
}

asio::awaitable<void> model_exchange::run_attempts()
{
    retry_step step{.action = retry_action::request_new_grant, .kind = error_kind::none};
    while (step.action != retry_action::give_up)
    {
        auto const resuming = step.action == retry_action::resume;
        if (!resuming)
        {
            step = co_await request_grant();
            if (step.action == retry_action::give_up)
                break;
            if (!endpoint_)
                continue;
        }
        auto const end = co_await run_attempt(resuming);
        if (end.is_final || end.next.action != retry_action::resume)
            release(end.reason);
        if (end.is_final)
            co_return;
        step = end.next;
    }
    co_await give_up(step);
}

asio::awaitable<retry_step> model_exchange::request_grant()
{
    attempt_ = context_->callers.next_request_id();
    endpoint_.reset();
    grant_request request{
        .request = attempt_,
        .entry = context_->host,
        .service = contract_->id,
        .team = contract_->team,
        .team_weight = contract_->weight,
        .endpoints = contract_->endpoints,
        .adapter = adapter_->id,
        .fingerprint = fingerprint_id(
            hash_combine(adapter_->id.number(), hash_bytes(request_->message->body()))),
        .prefix = hash_combine(adapter_->id.number(), body_.prefix_hash),
        .priority = request_->priority,
        .idempotent = idempotent_,
        .attempt = attempts_++,
        .deadline = deadline_,
        .prompt_tokens = body_.prompt_tokens,
        .max_tokens = body_.max_tokens,
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

    // The endpoint may have been removed from the host list in the meantime
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
    events_.restart();
    co_return retry_step{.action = retry_action::request_new_grant,
                         .kind = error_kind::none};
}

asio::awaitable<model_exchange::attempt_result> model_exchange::run_attempt(bool resuming)
{
    if (resuming)
        events_.resume();

    // Reuse an idle connection if there is one
    auto connection = context_->connections.take_idle(*endpoint_);
    if (!connection)
    {
        connection = context_->connections.make_socket();
        if (!connection && resuming)
            co_return handle_interruption(error_kind::endpoint_lost, true);
        if (!connection)
            co_return attempt_result{.next = decision_->on_connect_failed(),
                                     .reason = release_reason::refused};
        control_->set_connection(connection);
        auto const connect_error =
            co_await connection_pool::connect(connection, endpoint_->address);
        if (connect_error && resuming)
            co_return handle_interruption(error_kind::endpoint_lost, true);
        if (connect_error)
            co_return attempt_result{.next = decision_->on_connect_failed(),
                                     .reason = release_reason::endpoint_lost};
    }
    control_->set_connection(connection);
    if (control_->reason() != error_kind::none)
        co_return handle_interruption(error_kind::endpoint_lost, resuming);

    decision_->on_writing();
    auto error = co_await send_request(connection, resuming);
    if (error)
        co_return handle_interruption(error_kind::endpoint_lost, resuming);

    answer_reader reader(connection);
    error = co_await reader.read_head();
    if (error)
        co_return handle_interruption(reader.got_some() ? error_kind::endpoint_protocol
                                                        : error_kind::endpoint_lost,
                                      resuming);

    auto const end = co_await handle_answer(reader, resuming);
    control_->set_connection(nullptr);
    if (reader.keep_alive() && connection->is_open())
        context_->connections.put_back(*endpoint_, std::move(connection));
    co_return end;
}

asio::awaitable<error_code> model_exchange::send_request(endpoint_connection connection,
                                                         bool resuming)
{
    auto const path = to_path(route_);
    http::request<http::string_body> message(http::verb::post, {path.data(), path.size()},
                                             11);
    message.set(http::field::host, endpoint_->name);
    message.set(http::field::content_type, "application/json");
    message.set("X-Request-Id", fmt::format("{:016x}", attempt_.number()));
    auto const trace = (*request_->message)["traceparent"];
    if (!trace.empty())
        message.set("traceparent", trace);
    if (!request_->idempotency_key.empty())
        message.set("Idempotency-Key", request_->idempotency_key);
    if (resuming)
        message.set("Last-Event-ID", fmt::to_string(events_.last_event_id()));

    // A restart continues after the delivered text; a resumption repeats the request that
    // the engine already has
    auto const qualified = adapter_->qualified_name();
    message.body() = make_engine_body(
        request_->message->body(), {.route = route_,
                                    .qualified_adapter = qualified,
                                    .priority = request_->priority,
                                    .delivered_text = events_.text_before_restart(),
                                    .delivered_tokens = events_.events_before_restart()});
    message.prepare_payload();
    error_code error;
    co_await http::async_write(*connection, message,
                               asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<model_exchange::attempt_result>
model_exchange::handle_answer(answer_reader& reader, bool resuming)
{
    auto const& head = reader.get_head();
    if (head.result() == http::status::ok)
    {
        // What continues a stream must be one, too
        if (head_sent_ && media_type(head) != stream_type_)
            co_return handle_interruption(error_kind::endpoint_protocol, resuming);
        if (body_.streamed)
            co_return co_await relay_stream(reader);
        co_return co_await relay_whole(reader);
    }
    if (resuming)
    {
        std::string ignored;
        co_await reader.read_rest(ignored, max_error_bytes);
        co_return attempt_result{.next = decision_->on_resume_refused(),
                                 .reason = release_reason::endpoint_lost};
    }
    co_return co_await handle_error_answer(reader);
}

asio::awaitable<model_exchange::attempt_result>
model_exchange::handle_error_answer(answer_reader& reader)
{
    auto const status = reader.get_head().result_int();
    auto const draining = reader.get_head()["X-Draining"] == "1";
    std::string document;
    auto const error = co_await reader.read_rest(document, max_error_bytes);
    if (status == 404)
        co_return attempt_result{.next = decision_->on_endpoint_refused(),
                                 .reason = release_reason::adapter_missing};
    if (status == 503 && draining)
        co_return attempt_result{.next = decision_->on_endpoint_refused(),
                                 .reason = release_reason::refused};
    if (error || status < 400 || status >= 500)
        co_return handle_interruption(error_kind::endpoint_protocol, false);

    // The engine rejected the request; the caller gets its message
    auto const invalid = status == 400 || status == 422;
    error_message_ = engine_message(document);
    co_return attempt_result{
        .next = decision_->on_request_rejected(invalid ? error_kind::malformed_request
                                                       : error_kind::endpoint_refused),
        .reason = release_reason::finished};
}

asio::awaitable<model_exchange::attempt_result>
model_exchange::relay_stream(answer_reader& reader)
{
    if (!head_sent_)
    {
        caller_session::answer_head head(http::status::ok, 11);
        head.set(http::field::content_type, "text/event-stream");
        head.set(http::field::cache_control, "no-cache");
        head.chunked(true);
        head_sent_ = true;
        stream_type_ = media_type(reader.get_head());
        if (co_await session_->send_head(std::move(head)))
            control_->abort(error_kind::caller_gone);
    }

    std::string received;
    std::string output;
    while (events_.state() == event_stream_state::open &&
           control_->reason() == error_kind::none)
    {
        received.clear();
        output.clear();
        if (!holds(events_.held_bytes() + answer_read_bytes) && !co_await hold_stream())
            break;
        auto const error = co_await reader.read_some(received);
        events_.push(received, output);
        if (!output.empty())
        {
            decision_->on_delivered(events_.can_restart());
            if (co_await session_->write_body(output))
                control_->abort(error_kind::caller_gone);
        }
        if (error || (reader.is_done() && events_.state() == event_stream_state::open))
            break;
    }
    if (events_.state() != event_stream_state::done ||
        control_->reason() != error_kind::none)
        co_return handle_interruption(error_kind::endpoint_lost, false);

    // Read the end of the body so that the connection can be reused
    received.clear();
    co_await reader.read_rest(received, max_error_bytes);
    co_await session_->finish_body();
    co_return attempt_result{.is_final = true};
}

asio::awaitable<model_exchange::attempt_result>
model_exchange::relay_whole(answer_reader& reader)
{
    std::string document;
    auto const error = co_await read_whole(reader, document);
    if (error == asio::error::no_memory && control_->reason() == error_kind::none)
        co_return attempt_result{
            .next = {.action = retry_action::give_up, .kind = error_kind::endpoint_lost},
            .reason = release_reason::cancelled};
    if (error || !reader.is_framed())
        co_return handle_interruption(error_kind::endpoint_lost, false);

    caller_answer answer(http::status::ok, 11);
    answer.set(http::field::content_type, reader.get_head()[http::field::content_type]);
    answer.body() = std::move(document);
    co_await session_->send(std::move(answer));
    co_return attempt_result{.is_final = true};
}

model_exchange::attempt_result model_exchange::handle_interruption(error_kind kind,
                                                                   bool resuming)
{
    // An aborted exchange is not retried
    if (control_->reason() == error_kind::caller_gone)
    {
        session_->close_after_answer();
        return {.is_final = true, .reason = release_reason::cancelled};
    }
    if (control_->reason() != error_kind::none)
        return {.next = decision_->on_deadline(), .reason = release_reason::cancelled};
    if (resuming)
        return {.next = decision_->on_resume_refused(),
                .reason = release_reason::endpoint_lost};

    // A resumption needs the number of the last event
    auto next = decision_->on_interrupted(kind);
    if (next.action == retry_action::resume && events_.last_event_id() == 0)
        next = decision_->on_resume_refused();
    if (next.action != retry_action::give_up)
        log_event(event::request_retried, "request", session_->request_name(), "endpoint",
                  endpoint_->name, "delivered", events_.delivered());
    return {.next = next, .reason = release_reason::endpoint_lost};
}

void model_exchange::release(release_reason reason)
{
    context_->grants.release({.request = attempt_,
                              .endpoint = endpoint_->id,
                              .reason = reason,
                              .tokens = static_cast<std::uint32_t>(events_.delivered())});
}

asio::awaitable<void> model_exchange::give_up(retry_step step)
{
    control_->finish();
    if (control_->reason() == error_kind::caller_gone)
    {
        session_->close_after_answer();
        co_return;
    }
    log_event(event::request_failed, "request", session_->request_name(), "service",
              contract_->name, "kind", answer_of(step.kind).name);
    error_reply_options const options{
        .kind = step.kind, .message = error_message_, .retry_after = step.retry_after};
    if (!head_sent_)
    {
        auto reply = make_error_reply(options);
        co_await session_->send(std::move(reply));
        co_return;
    }

    // Omit the last chunk, so that the caller can tell that the answer is incomplete
    session_->close_after_answer();
    session_->start_send_timeout();
    auto const event = error_event(options);
    co_await session_->write_body(event);
}

} // namespace marjorampath::serving
