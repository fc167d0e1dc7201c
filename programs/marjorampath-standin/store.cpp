#include <programs/marjorampath-standin/http_server.hpp>
#include <programs/marjorampath-standin/records.hpp>
#include <programs/marjorampath-standin/subcommand.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>

namespace marjorampath::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// Loads in transit beyond which each takes proportionally longer
constexpr int free_transit = 8;

struct store_options
{
    // Loads a second; zero for no bound
    double rate = 0;
    // Loads that may start at once
    double burst = 8;
    // Time of one load, in milliseconds
    int load_ms = 250;
};

// The weight store: bounded in rate, slower with many loads in transit.
class store
{
public:
    store(asio::io_context& context, store_options values)
        : context_(context), options_(values), permits_(values.burst)
    {
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        auto const path = exchange.path();
        if (path == "/standin/stats")
            co_return co_await exchange.reply(200, stats());
        if (path == "/standin/set")
        {
            auto const values = json::parse(exchange.request().body()).as_object();
            assign_member(values, "fail", fail_);
            assign_member(values, "load_ms", options_.load_ms);
            assign_member(values, "rate", options_.rate);
            co_return co_await exchange.reply(200, "{}");
        }
        if (!path.starts_with("/adapters/"))
            co_return co_await exchange.reply(404, "{}");
        co_await load(exchange);
    }

private:
    std::string stats() const
    {
        return json::serialize(json::object{{"loads", loads_},
                                            {"refused", refused_},
                                            {"in_transit", in_transit_},
                                            {"peak_transit", peak_transit_}});
    }

    bool take_permit()
    {
        if (options_.rate <= 0)
            return true;
        auto const now = std::chrono::steady_clock::now();
        std::chrono::duration<double> const passed = now - refilled_;
        refilled_ = now;
        permits_ = std::min(options_.burst, permits_ + passed.count() * options_.rate);
        if (permits_ < 1)
            return false;
        permits_ -= 1;
        return true;
    }

    asio::awaitable<void> load(http_exchange& exchange)
    {
        if (!take_permit())
        {
            ++refused_;
            co_return co_await exchange.reply(429, "{}");
        }
        if (fail_ > 0)
        {
            --fail_;
            co_return co_await exchange.reply(500, "{}");
        }

        // Each load takes longer in proportion to those in transit
        ++loads_;
        ++in_transit_;
        peak_transit_ = std::max(peak_transit_, in_transit_);
        auto const share = std::max(1.0, static_cast<double>(in_transit_) / free_transit);
        asio::steady_timer timer(context_);
        timer.expires_after(
            std::chrono::milliseconds(static_cast<int>(options_.load_ms * share)));
        co_await timer.async_wait(asio::use_awaitable);
        --in_transit_;
        co_await exchange.reply(200, "{}");
    }

    // Runs timers
    asio::io_context& context_;
    // Settings
    store_options options_;
    // Loads that may start now
    double permits_;
    // When permits were last added
    std::chrono::steady_clock::time_point refilled_ = std::chrono::steady_clock::now();
    // Number of next loads that fail
    int fail_ = 0;
    // Loads started
    std::uint64_t loads_ = 0;
    // Loads refused by the rate
    std::uint64_t refused_ = 0;
    // Loads in transit now
    int in_transit_ = 0;
    // Most loads in transit at once
    int peak_transit_ = 0;
};

} // namespace

int run_store(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command("Stand-in for the weight store", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen at", false,
                                        "127.0.0.1:0", "IP:PORT", command);
    TCLAP::ValueArg<double> rate("", "rate", "Loads a second; 0 for no bound", false, 0,
                                 "number", command);
    TCLAP::ValueArg<double> burst("", "burst", "Loads that may start at once", false, 8,
                                  "number", command);
    TCLAP::ValueArg<int> load_ms("", "load-ms", "Time of one load", false, 250,
                                 "milliseconds", command);
    command.parse(arguments);

    asio::io_context context(1);
    store service(context, {.rate = rate.getValue(),
                            .burst = burst.getValue(),
                            .load_ms = load_ms.getValue()});
    http_server server(context, parse_listen_address(listen.getValue()),
                       [&service](http_exchange& exchange)
                       { return service.handle(exchange); });
    run_until_signal(context, server);
    return 0;
}

} // namespace marjorampath::standin
