#include <marjorampath/core/hash.hpp>
#include <programs/marjorampath-standin/http_server.hpp>
#include <programs/marjorampath-standin/records.hpp>
#include <programs/marjorampath-standin/subcommand.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <unordered_map>

namespace marjorampath::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// A plain service that records each execution. Paths that begin with `/echo` answer the
// request's body; all others answer what was executed as JSON.
class ledger
{
public:
    ledger(asio::io_context& context, std::chrono::milliseconds delay)
        : context_(context), delay_(delay)
    {
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        auto const path = exchange.path();
        if (path == "/records")
            co_return co_await exchange.reply(200, records_.text());
        if (path == "/standin/set")
        {
            set(json::parse(exchange.request().body()).as_object());
            co_return co_await exchange.reply(200, "{}");
        }
        if (draining_)
        {
            exchange.add_header("X-Draining", "1");
            co_return co_await exchange.reply(503, "{}");
        }
        if (break_before_ > 0)
        {
            --break_before_;
            co_return exchange.drop();
        }
        co_await execute(exchange);
    }

private:
    void set(json::object const& values)
    {
        assign_member(values, "draining", draining_);
        assign_member(values, "break_before", break_before_);
        assign_member(values, "break_after", break_after_);
        std::int64_t delay_ms = delay_.count();
        assign_member(values, "delay_ms", delay_ms);
        delay_ = std::chrono::milliseconds(delay_ms);
    }

    asio::awaitable<void> execute(http_exchange& exchange)
    {
        // The operation has its effect when it starts
        auto const& request = exchange.request();
        auto const key = exchange.header("Idempotency-Key");
        auto const method = request.method_string();
        auto const target = request.target();
        json::object const done{
            {"execution", ++executions_},
            {"method", json::string_view(method.data(), method.size())},
            {"target", json::string_view(target.data(), target.size())},
            {"key", key},
            {"request_id", exchange.header("X-Request-Id")},
            {"body_digest", fmt::format("{:016x}", hash_bytes(request.body()))},
            {"times", ++times_[key]}};
        records_.append(done);

        asio::steady_timer timer(context_);
        timer.expires_after(delay_);
        co_await timer.async_wait(asio::use_awaitable);
        if (break_after_ > 0)
        {
            --break_after_;
            co_return exchange.drop();
        }
        bool const echo = exchange.path().starts_with("/echo");
        std::string answer = request.body();
        if (!echo)
            answer = json::serialize(done);
        co_await exchange.reply(200, std::move(answer));
    }

    // Runs timers
    asio::io_context& context_;
    // Time of one execution
    std::chrono::milliseconds delay_;
    // What was executed
    records records_;
    // Number of executions
    std::uint64_t executions_ = 0;
    // Executions of each key
    std::unordered_map<std::string, std::uint64_t> times_;
    // Whether requests are refused
    bool draining_ = false;
    // Number of next requests whose connection is closed before the execution
    int break_before_ = 0;
    // Number of next requests whose connection is closed after the execution
    int break_after_ = 0;
};

} // namespace

int run_service(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command("Stand-in for a plain service", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen at", false,
                                        "127.0.0.1:0", "IP:PORT", command);
    TCLAP::ValueArg<int> delay_ms("", "delay-ms", "Time of one execution", false, 0,
                                  "milliseconds", command);
    command.parse(arguments);

    asio::io_context context(1);
    ledger service(context, std::chrono::milliseconds(delay_ms.getValue()));
    http_server server(context, parse_listen_address(listen.getValue()),
                       [&service](http_exchange& exchange)
                       { return service.handle(exchange); });
    run_until_signal(context, server);
    return 0;
}

} // namespace marjorampath::standin
