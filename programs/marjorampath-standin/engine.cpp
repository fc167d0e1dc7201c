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

// Requests that can be resumed at once
constexpr std::size_t max_remembered = 65'536;
// Leading bytes of a prompt that the cache events name by their hash
constexpr std::size_t prefix_bytes = 256;
// Tokens of a request that states no number
constexpr std::uint32_t default_tokens = 16;

// The text that the model reads, of either kind of request
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
        // The beginning of an answer is continued
        if (role != "assistant")
            prompt += role + ": ";
        prompt += text_member(fields, "content");
        if (role != "assistant")
            prompt += '\n';
    }
    return prompt;
}

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
      boot_(static_cast<std::uint64_t>(serving::wall_now().count())),
      restart_timer_(context)
{
}

asio::awaitable<void> engine::handle(http_exchange& exchange)
{
    exchange.add_header("X-Boot-Number", std::to_string(boot_));
    auto const path = exchange.path();
    if (path == "/v1/completions")
        co_return co_await complete(exchange, false);
    if (path == "/v1/chat/completions")
        co_return co_await complete(exchange, true);
    if (path == "/v1/load_lora_adapter")
        co_return co_await load_adapter(exchange);
    if (path == "/v1/unload_lora_adapter")
        co_return co_await unload_adapter(exchange);
    if (path == "/v1/models")
        co_return co_await exchange.reply(200, model_list());
    if (path == "/load")
        co_return co_await exchange.reply(200, load_report());
    if (path == "/cache_events")
    {
        auto const events = cache_.read(parse_number(exchange.query("after")));
        co_return co_await exchange.reply(200, json::serialize(events));
    }
    if (path == "/v1/kv/export" || path == "/v1/kv/import")
    {
        auto body = exchange_cache(exchange, path.ends_with("import"));
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
        set(json::parse(exchange.request().body()).as_object());
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
    if (!slots_.holds(model))
    {
        status = 404;
        return nullptr;
    }

    auto const prompt = prompt_of(body, chat);
    std::uint32_t total = default_tokens;
    assign_member(body, "max_tokens", total);
    int priority = 0;
    assign_member(body, "priority", priority);
    auto made = std::make_shared<sequence>(context_);
    made->request_id = request_id;
    made->key = exchange.header("Idempotency-Key");
    made->body_digest = hash_bytes(exchange.request().body());
    made->text = text_for(model, prompt);
    made->total = std::max(1U, total);
    made->priority = priority;

    // A resumed stream goes on with what is remembered of it
    if (auto const last = exchange.header("Last-Event-ID"); !last.empty())
    {
        auto const found = memory_.find(request_id);
        if (found == memory_.end() || found->second.text.model != model)
        {
            status = 409;
            return nullptr;
        }
        made->text = found->second.text;
        made->total = found->second.total;
        made->produced = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(parse_number(last), made->total));
    }
    cache_.store(hash_bytes(std::string_view(prompt).substr(0, prefix_bytes)));
    return made;
}

void engine::remember(sequence const& each)
{
    if (each.request_id.empty())
        return;
    auto const [place, added] =
        memory_.insert_or_assign(each.request_id, remembered{each.text, each.total});
    if (!added)
        return;
    memory_order_.push_back(each.request_id);
    if (memory_order_.size() <= max_remembered)
        return;
    memory_.erase(memory_order_.front());
    memory_order_.pop_front();
}

asio::awaitable<void> engine::complete(http_exchange& exchange, bool chat)
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
                         {"boot", boot_}});
        co_return crash();
    }

    unsigned status = 200;
    auto const running = make_sequence(exchange, body, chat, status);
    if (!running)
        co_return co_await exchange.reply(status, error_body("cannot run"));
    remember(*running);

    bool streamed = false;
    assign_member(body, "stream", streamed);
    exchange.on_disconnect([this, running]
                           { batch_.end(*running, sequence_end::cancelled); });
    batch_.add(running);
    if (streamed)
        co_await answer_stream(exchange, running, chat);
    else
        co_await answer_whole(exchange, running, chat);

    // A write that failed leaves the sequence running
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
    // Decide at the start whether this stream is to be cut
    bool const cut = cut_streams_ > 0;
    if (cut)
        --cut_streams_;
    // A token may be generated while the head is written
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

        // All tokens that were generated since go into one write
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
