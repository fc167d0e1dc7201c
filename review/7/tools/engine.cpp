#include "engine.hpp"

#include <charconv>
#include <utility>

namespace review
{

namespace
{

constexpr std::int64_t heartbeat_ms = 1'200;
constexpr std::int64_t missed_heartbeats = 3;

std::uint64_t to_number(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

// Identifier of the last part of a prompt, `ID:TOKENS,...,ID:TOKENS`
std::string last_part(std::string const& parts)
{
    auto const begin = parts.rfind(',');
    auto const part = begin == std::string::npos ? parts : parts.substr(begin + 1);
    return part.substr(0, part.find(':'));
}

} // namespace

std::string configuration(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           R"({"name":"streams","host":"case.example","prefix":"/streams/",)"
           R"("type":"streaming","timeoutMs":15000,"goalMs":1000,"priority":1,)"
           R"("service":"lm","maxAttempts":2,"sticky":true,"resumable":true,)"
           R"("gapGoalMs":600},)"
           R"({"name":"plain","host":"case.example","prefix":"/plain/",)"
           R"("type":"unsafe","timeoutMs":4000,"goalMs":300,"priority":2,)"
           R"("service":"portal","maxAttempts":1}],)"
           R"("services":[{"name":"lm","healthPath":"/healthz","maxConns":370,)"
           R"("engine":{"slots":64,"kvCapacity":232000,"weightsMb":66500.0,)"
           R"("adapterSlots":8,"loadsPerS":2.8,"models":[{"name":"m0",)"
           R"("weightsMb":65100.0,"loadS":1.9,"adapters":3000,"adapterMb":12.0}]}},)"
           R"({"name":"portal","healthPath":"/healthz","maxConns":110}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

engine::engine(fleet& host, record_file& record, std::string const& ip, options values)
    : host_(&host), record_(&record), options_(std::move(values)),
      server_(ip, [this](http_request const& request, responder& reply)
              { answer(request, reply); }),
      heartbeat_([this] { announce(); })
{
}

engine::~engine()
{
    stop();
}

void engine::retire()
{
    announced_ = false;
    host_->remove("servers/" + options_.id);
    record_->line("engine " + options_.id + " removed its entry and serves on");
}

void engine::stop()
{
    if (stopped_.exchange(true))
        return;
    heartbeat_.join();
    server_.stop();
    record_->line("engine " + options_.id + " ended");
}

void engine::announce()
{
    std::int64_t next = now_ms();
    while (!stopped_)
    {
        if (announced_ && now_ms() >= next)
        {
            host_->put("servers/" + options_.id, description(),
                       heartbeat_ms * missed_heartbeats);
            next = now_ms() + heartbeat_ms;
        }
        sleep_ms(20);
    }
}

std::string engine::description() const
{
    return R"({"service":"lm","address":")" + server_.at().text() + R"(","zone":")" +
           options_.zone + R"(","version":")" + options_.software +
           R"(","slots":64,"state":"ready","coldLeftMs":0,"sequence":0,"born":)" +
           std::to_string(born_) +
           R"(,"stage":"combined","models":[{"name":"m0","version":1,"adapters":[]}],)"
           R"("busy":false,"queued":0,"active":0,"kvUsed":0,"kvTotal":232000,"handles":0})";
}

std::string engine::kept_parts()
{
    std::lock_guard const lock(mutex_);
    std::string list;
    for (auto const& part : kept_)
        list += (list.empty() ? R"(["",")" : R"(,["",")") + part + R"(",100,"m0"])";
    return R"({"epoch":1,"next":1,"held":[)" + list + "]}";
}

void engine::answer(http_request const& request, responder& reply)
{
    header_list headers{{"X-Instance-Id", options_.id}};
    auto const attempt = field(request.headers, "X-Attempt-Id");
    if (!attempt.empty())
        headers.emplace_back("X-Attempt-Id", attempt);
    auto const expected = field(request.headers, "X-Expect-Instance");
    if (!expected.empty() && expected != options_.id)
    {
        headers.emplace_back("X-Not-Executed", "1");
        return reply.reply(421, headers, "{}");
    }
    if (request.target == "/healthz")
        return reply.reply(200, headers, "{}");
    if (request.target == "/api/report")
        return reply.reply(200, headers, description());
    if (request.target == "/api/kv-list")
        return reply.reply(200, headers, kept_parts());
    if (attempt.empty() || field(request.headers, "X-Model") != model_name)
    {
        headers.emplace_back("X-Not-Executed", "1");
        return reply.reply(421, headers, "{}");
    }
    stream(request, reply);
}

void engine::stream(http_request const& request, responder& reply)
{
    auto const attempt = field(request.headers, "X-Attempt-Id");
    auto const tokens = field(request.headers, "X-Token-Count");
    constexpr std::uint64_t tokens_per_event = 4;
    auto const events = to_number(tokens.substr(tokens.find(',') + 1)) / tokens_per_event;
    auto const after = to_number(field(request.headers, "Last-Event-Id"));
    record_->line("engine " + options_.id + " (" + options_.software + ") runs " +
                  attempt + " after event " + std::to_string(after));
    {
        std::lock_guard const lock(mutex_);
        kept_.insert(last_part(field(request.headers, "X-Prompt-Prefix")));
    }
    auto open = reply.start({{"X-Instance-Id", options_.id},
                             {"X-Attempt-Id", attempt},
                             {"X-Server-Seal", options_.id + "." + attempt},
                             {"X-Weights-Versions", "1"},
                             {"Content-Type", "text/event-stream"}});
    for (auto next = after + 1; open && !stopped_ && next <= events; ++next)
    {
        sleep_ms(options_.event_ms);
        open = reply.write("id: " + std::to_string(next) +
                           "\ndata: " + options_.software + "\n\n");
    }
    if (open && !stopped_)
        reply.finish();
    else
        reply.drop();
}

} // namespace review
