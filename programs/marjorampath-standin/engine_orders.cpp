#include <programs/marjorampath-standin/engine.hpp>
#include <serving/remote/http_reader.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace marjorampath::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

std::string_view name_of(sequence_end end)
{
    switch (end)
    {
    case sequence_end::none:
        return "none";
    case sequence_end::finished:
        return "finished";
    case sequence_end::cancelled:
        return "cancelled";
    case sequence_end::cut:
        return "cut";
    case sequence_end::crashed:
        return "crashed";
    case sequence_end::unloaded:
        return "unloaded";
    }
    return "none";
}

} // namespace

bool engine::accept_fencing_token(http_exchange const& exchange)
{
    auto const token = parse_number(exchange.header("X-Fencing-Token"));
    if (options_.checks_fence && token < fencing_token_)
        return false;
    fencing_token_ = std::max(fencing_token_, token);
    return true;
}

asio::awaitable<void> engine::load_adapter(http_exchange& exchange)
{
    auto const body = json::parse(exchange.request().body()).as_object();
    auto const name = text_member(body, "lora_name");
    unsigned status = 200;
    if (!accept_fencing_token(exchange))
        status = 412;
    else if (slots_.is_loaded_or_loading(name))
        status = 400;
    else if (!slots_.reserve(name))
        status = 507;

    if (status == 200)
    {
        bool const succeeded = co_await fetch_weights(name);
        if (!slots_.finish_load(name, succeeded))
            co_return exchange.drop();
        status = succeeded ? 200 : 500;
    }
    record_order("load", name, status, exchange);
    auto answer = status == 412
                      ? json::serialize(json::object{{"error", {{"message", "old"}}},
                                                     {"fencing_token", fencing_token_}})
                      : error_body(name);
    co_await exchange.reply(status, std::move(answer));
}

asio::awaitable<bool> engine::fetch_weights(std::string const& name)
{
    if (load_failures_ > 0)
    {
        --load_failures_;
        co_return false;
    }
    if (!options_.store)
    {
        asio::steady_timer timer(context_);
        timer.expires_after(options_.load_time);
        co_await timer.async_wait(asio::use_awaitable);
        co_return true;
    }

    serving::http_reader reader(
        context_.get_executor(),
        {.server = *options_.store, .timeout = std::chrono::seconds(30)});
    auto target = "/adapters/" + name;
    auto const read =
        co_await reader.get(std::move(target), std::chrono::milliseconds(0));
    co_return !read.error;
}

asio::awaitable<void> engine::unload_adapter(http_exchange& exchange)
{
    auto const body = json::parse(exchange.request().body()).as_object();
    auto const name = text_member(body, "lora_name");
    unsigned status = 200;
    if (!accept_fencing_token(exchange))
        status = 412;
    else if (!slots_.unload(name))
        status = 404;

    // Requests that are still running on the adapter are lost
    if (status == 200)
    {
        auto const lost = batch_.end_all(name, sequence_end::unloaded);
        if (lost > 0)
            records_.append({{"violation", "unload-while-serving"},
                             {"model", name},
                             {"requests", lost},
                             {"boot", boot_number_}});
    }
    record_order("unload", name, status, exchange);
    auto answer = status == 412
                      ? json::serialize(json::object{{"error", {{"message", "old"}}},
                                                     {"fencing_token", fencing_token_}})
                      : error_body(name);
    co_await exchange.reply(status, std::move(answer));
}

void engine::crash()
{
    ++boot_number_;
    batch_.end_all({}, sequence_end::crashed);
    slots_.clear();
    cache_.clear();
    resumable_requests_.clear();
    resumable_order_.clear();
    cached_report_.clear();
    draining_ = false;
    fencing_token_ = 0;
    records_.append({{"event", "crash"}, {"boot", boot_number_}});

    server_->stop();
    restart_timer_.expires_after(options_.restart_delay);
    restart_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                server_->restart();
        });
}

void engine::apply_settings(json::object const& values)
{
    assign_member(values, "draining", draining_);
    assign_member(values, "load_failures", load_failures_);
    assign_member(values, "cut_streams", cut_streams_);
    assign_member(values, "cut_after", cut_after_);
    assign_member(values, "cut_answers", cut_answers_);
    assign_member(values, "checks_fence", options_.checks_fence);
    if (values.contains("crash_on"))
        options_.crash_on = text_member(values, "crash_on");
    std::int64_t token_ms = options_.batch.token_time.count();
    assign_member(values, "token_ms", token_ms);
    batch_.set_token_time(std::chrono::milliseconds(token_ms));
}

void engine::record(sequence const& ended)
{
    records_.append({{"request_id", ended.request_id},
                     {"key", ended.key},
                     {"model", ended.text.model},
                     {"first", ended.text.first},
                     {"tokens", ended.produced},
                     {"total", ended.total},
                     {"body_digest", fmt::format("{:016x}", ended.body_digest)},
                     {"started", ended.started},
                     {"outcome", name_of(ended.end)},
                     {"boot", boot_number_}});
}

void engine::record_order(char const* kind, std::string const& name, unsigned status,
                          http_exchange const& exchange)
{
    records_.append({{"order", kind},
                     {"model", name},
                     {"status", status},
                     {"fencing_token", exchange.header("X-Fencing-Token")},
                     {"boot", boot_number_}});
}

std::string engine::current_load_report()
{
    auto const now = std::chrono::steady_clock::now();
    if (!cached_report_.empty() && now - report_cached_at_ < options_.report_lag)
        return cached_report_;

    json::array adapters;
    for (auto const& name : slots_.loaded())
        adapters.emplace_back(name);
    report_cached_at_ = now;
    cached_report_ =
        json::serialize(json::object{{"boot", boot_number_},
                                     {"running", batch_.running()},
                                     {"waiting", batch_.waiting()},
                                     {"slots", slots_.count()},
                                     {"concurrency", options_.batch.concurrency},
                                     {"adapters", std::move(adapters)},
                                     {"draining", draining_},
                                     {"fencing_token", fencing_token_}});
    return cached_report_;
}

std::string engine::model_list() const
{
    json::array data;
    for (auto const& name : slots_.loaded())
        data.push_back(json::object{{"id", name}, {"object", "model"}});
    return json::serialize(json::object{{"object", "list"}, {"data", std::move(data)}});
}

std::string engine::transfer_cache(http_exchange const& exchange, bool import)
{
    auto const body = json::parse(exchange.request().body()).as_object();
    auto const request_id = text_member(body, "request_id");
    if (!import)
    {
        auto const found = resumable_requests_.find(request_id);
        if (found == resumable_requests_.end())
            return {};
        auto const& [text, total] = found->second;
        json::object const state{{"model", text.model},
                                 {"digest", text.digest},
                                 {"first", text.first},
                                 {"total", total}};
        return json::serialize(json::object{{"kv", json::serialize(state)}});
    }

    auto const state = json::parse(text_member(body, "kv")).as_object();
    sequence imported(context_);
    imported.request_id = request_id;
    imported.text.model = text_member(state, "model");
    assign_member(state, "digest", imported.text.digest);
    assign_member(state, "first", imported.text.first);
    assign_member(state, "total", imported.total);
    store_resumable(imported);
    return "{}";
}

} // namespace marjorampath::standin
