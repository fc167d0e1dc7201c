#include <programs/marjorampath-standin/engine.hpp>
#include <serving/clock/boot_time.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace marjorampath::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// Maximum number of requests whose state is kept for resumption
constexpr std::size_t max_resumable_requests = 65'536;
// Number of leading bytes of a prompt whose hash identifies it in cache events
constexpr std::size_t prefix_bytes = 256;
// Number of tokens where a request has no `max_tokens`
constexpr std::uint32_t default_tokens = 16;

// The prompt of a text or chat completion as one text
std::string prompt_of(json::object const& body, bool chat)
{
    if (!chat)
        return text_member(body, "prompt");

    std::string prompt;
    auto const* messages = body.if_contains("messages");
    if (!messages || !messages->is_array())
        return prompt;
    for (auto const& message : messages->get_array())
    {
        if (!message.is_object())
            continue;
        auto const& fields = message.get_object();
        auto const role = text_member(fields, "role");
        // An assistant message is the beginning of the answer: continue it without a role
        if (role != "assistant")
            prompt += role + ": ";
        prompt += text_member(fields, "content");
        if (role != "assistant")
            prompt += '\n';
    }
    return prompt;
}

// The JSON object of a complete answer or, if `streamed`, of one event of a stream
json::object answer_object(sequence const& each, std::string const& text, bool chat,
                           bool streamed, bool last)
{
    json::value const reason = last ? json::value("length") : json::value(nullptr);
    json::object choice{{"index", 0}, {"finish_reason", reason}};
    if (!chat)
        choice["text"] = text;
    else
        choice[streamed ? "delta" : "message"] =
            json::object{{"role", "assistant"}, {"content", text}};

    char const* kind = "text_completion";
    if (chat)
        kind = streamed ? "chat.completion.chunk" : "chat.completion";
    return {{"id", "cmpl-" + each.request_id},
            {"object", kind},
            {"model", each.text.model},
            {"choices", json::array{std::move(choice)}}};
}

} // namespace

engine::engine(asio::io_context& context, options values)
    : context_(context), options_(std::move(values)), slots_(options_.slots),
      batch_(context, options_.batch), cache_(options_.cache),
      boot_number_(static_cast<std::uint64_t>(serving::wall_now().count())),
      restart_timer_(context)
{
}

asio::awaitable<void> engine::handle(http_exchange& exchange)
{
    exchange.add_header("X-Boot-Number", std::to_string(boot_number_));
    auto const path = exchange.path();
    if (path == "/v1/completions")
        co_return co_await handle_completion(exchange, false);
    if (path == "/v1/chat/completions")
        co_return co_await handle_completion(exchange, true);
    if (path == "/v1/load_lora_adapter")
        co_return co_await load_adapter(exchange);
    if (path == "/v1/unload_lora_adapter")
        co_return co_await unload_adapter(exchange);
    if (path == "/v1/models")
        co_return co_await exchange.reply(200, model_list());
    if (path == "/load")
        co_return co_await exchange.reply(200, current_load_report());
    if (path == "/cache_events")
    {
        auto const events = cache_.read(parse_number(exchange.query("after")));
        co_return co_await exchange.reply(200, json::serialize(events));
    }
    if (path == "/v1/kv/export" || path == "/v1/kv/import")
    {
        auto body = transfer_cache(exchange, path.ends_with("import"));
        unsigned const status = body.empty() ? 404 : 200;
        co_return co_await exchange.reply(status, std::move(body));
    }
    if (path == "/v1/abort")
    {
        auto const body = json::parse(exchange.request().body()).as_object();
        if (auto const found = batch_.find(text_member(body, "request_id")))
            batch_.end(*found, sequence_end::cancelled);
        co_return co_await exchange.reply(200, "{}");
    }
    if (path == "/records")
        co_return co_await exchange.reply(200, records_.text());
    if (path == "/standin/set")
    {
        apply_settings(json::parse(exchange.request().body()).as_object());
        co_return co_await exchange.reply(200, "{}");
    }
    if (path == "/standin/crash")
        co_return crash();
    co_await exchange.reply(404, error_body("no such path"));
}

std::shared_ptr<sequence> engine::make_sequence(http_exchange const& exchange,
                                                json::object const& body, bool chat,
                                                unsigned& status)
{
    auto const model = text_member(body, "model");
    auto const request_id = exchange.header("X-Request-Id");
    if (!slots_.is_loaded(model))
    {
        status = 404;
        return nullptr;
    }

    auto const prompt = prompt_of(body, chat);
    std::uint32_t total = default_tokens;
    assign_member(body, "max_tokens", total);
    int priority = 0;
    assign_member(body, "priority", priority);
    auto result = std::make_shared<sequence>(context_);
    result->request_id = request_id;
    result->key = exchange.header("Idempotency-Key");
    result->body_digest = hash_bytes(exchange.request().body());
    result->text = text_for(model, prompt);
    result->total = std::max(1U, total);
    result->priority = priority;

    // A resumed stream continues after the last event that its caller received
    if (auto const last = exchange.header("Last-Event-ID"); !last.empty())
    {
        auto const found = resumable_requests_.find(request_id);
        if (found == resumable_requests_.end() || found->second.text.model != model)
        {
            status = 409;
            return nullptr;
        }
        result->text = found->second.text;
        result->total = found->second.total;
        result->produced = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(parse_number(last), result->total));
    }
    cache_.store(hash_bytes(std::string_view(prompt).substr(0, prefix_bytes)));
    return result;
}

void engine::store_resumable(sequence const& each)
{
    if (each.request_id.empty())
        return;
    auto const [position, added] = resumable_requests_.insert_or_assign(
        each.request_id, resumable_request{each.text, each.total});
    if (!added)
        return;
    resumable_order_.push_back(each.request_id);
    if (resumable_order_.size() <= max_resumable_requests)
        return;
    resumable_requests_.erase(resumable_order_.front());
    resumable_order_.pop_front();
}

asio::awaitable<void> engine::handle_completion(http_exchange& exchange, bool chat)
{
    if (draining_)
    {
        exchange.add_header("X-Draining", "1");
        co_return co_await exchange.reply(503, error_body("draining"));
    }

    auto const body = json::parse(exchange.request().body()).as_object();
    if (!options_.crash_on.empty() &&
        exchange.request().body().find(options_.crash_on) != std::string::npos)
    {
        records_.append({{"request_id", exchange.header("X-Request-Id")},
                         {"key", exchange.header("Idempotency-Key")},
                         {"model", text_member(body, "model")},
                         {"tokens", 0},
                         {"outcome", "poison"},
                         {"boot", boot_number_}});
        co_return crash();
    }

    unsigned status = 200;
    auto const running = make_sequence(exchange, body, chat, status);
    if (!running)
        co_return co_await exchange.reply(status, error_body("cannot run"));
    store_resumable(*running);

    bool streamed = false;
    assign_member(body, "stream", streamed);
    exchange.on_disconnect([this, running]
                           { batch_.end(*running, sequence_end::cancelled); });
    batch_.add(running);
    if (streamed)
        co_await answer_stream(exchange, running, chat);
    else
        co_await answer_whole(exchange, running, chat);

    // After a failed write the sequence is still running: end it
    batch_.end(*running, sequence_end::cancelled);
    record(*running);
}

asio::awaitable<void> engine::answer_whole(http_exchange& exchange,
                                           std::shared_ptr<sequence> running, bool chat)
{
    boost::system::error_code ignored;
    while (running->end == sequence_end::none)
        co_await running->changed.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));

    if (running->end == sequence_end::finished && cut_answers_ > 0)
    {
        --cut_answers_;
        running->end = sequence_end::cut;
    }
    if (running->end != sequence_end::finished)
        co_return exchange.drop();
    auto const text = running->text.tokens(running->total);
    auto const answer = answer_object(*running, text, chat, false, true);
    co_await exchange.reply(200, json::serialize(answer));
}

asio::awaitable<void> engine::answer_stream(http_exchange& exchange,
                                            std::shared_ptr<sequence> running, bool chat)
{
    // Decide at the start whether to cut off this stream
    bool const cut = cut_streams_ > 0;
    if (cut)
        --cut_streams_;
    // Read before the head is written: tokens may be generated during that write
    std::uint32_t written = running->produced;
    std::uint32_t const cut_at = written + cut_after_;
    if (!co_await exchange.start_events())
        co_return;

    boost::system::error_code ignored;
    while (written < running->total)
    {
        if (written == running->produced && running->end == sequence_end::none)
            co_await running->changed.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        if (running->end != sequence_end::none && running->end != sequence_end::finished)
            co_return exchange.drop();

        // Write all tokens generated since the last write at once
        std::string events;
        auto const until = running->produced;
        auto const stop_at = cut ? std::min(until, cut_at) : until;
        for (; written < stop_at; ++written)
        {
            auto const token = running->text.token(written);
            bool const last = written + 1 == running->total;
            auto const data = answer_object(*running, token, chat, true, last);
            events +=
                fmt::format("id: {}\ndata: {}\n\n", written + 1, json::serialize(data));
        }
        if (events.empty() && !cut)
            continue;
        if (!events.empty() && !co_await exchange.write_events(events))
            co_return;
        if (cut && written >= cut_at)
        {
            batch_.end(*running, sequence_end::cut);
            co_return exchange.drop();
        }
    }

    std::string const done = "data: [DONE]\n\n";
    if (co_await exchange.write_events(done))
        co_await exchange.finish_events();
}

} // namespace marjorampath::standin
