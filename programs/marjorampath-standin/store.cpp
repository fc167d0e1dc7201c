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

// Number of loads in transit up to which each runs at full speed
constexpr int full_speed_loads = 8;

// Settings of the store
struct store_options
{
    // Maximum number of loads per second; zero for no limit
    double rate = 0;
    // Maximum number of loads that may start at once
    double burst = 8;
    // Duration of one load at full speed, in milliseconds
    int load_ms = 250;
};

// Stand-in for the weight store: limits the rate of loads by a token bucket and slows
// down when many loads are in transit.
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
            assign_member(values, "fail", failures_left_);
            assign_member(values, "load_ms", options_.load_ms);
            assign_member(values, "rate", options_.rate);
            co_return co_await exchange.reply(200, "{}");
        }
        if (!path.starts_with("/adapters/"))
            co_return co_await exchange.reply(404, "{}");
        co_await load(exchange);
    }

private:
    // Body of `GET /standin/stats`
    std::string stats() const
    {
        return json::serialize(json::object{{"loads", loads_},
                                            {"refused", refused_},
                                            {"in_transit", in_transit_},
                                            {"peak_transit", peak_transit_}});
    }

    // Refills the permits and acquires one for a load; false where there is none
    bool try_acquire_permit()
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

    // Answers a load after its duration, or refuses it
    asio::awaitable<void> load(http_exchange& exchange)
    {
        if (!try_acquire_permit())
        {
            ++refused_;
            co_return co_await exchange.reply(429, "{}");
        }
        if (failures_left_ > 0)
        {
            --failures_left_;
            co_return co_await exchange.reply(500, "{}");
        }

        // Beyond full speed, the duration is proportional to the loads in transit
        ++loads_;
        ++in_transit_;
        peak_transit_ = std::max(peak_transit_, in_transit_);
        auto const slowdown =
            std::max(1.0, static_cast<double>(in_transit_) / full_speed_loads);
        asio::steady_timer timer(context_);
        timer.expires_after(
            std::chrono::milliseconds(static_cast<int>(options_.load_ms * slowdown)));
        co_await timer.async_wait(asio::use_awaitable);
        --in_transit_;
        co_await exchange.reply(200, "{}");
    }

    // Runs timers
    asio::io_context& context_;
    // Settings
    store_options options_;
    // Number of loads that may start now
    double permits_;
    // Time at which permits were last added
    std::chrono::steady_clock::time_point refilled_ = std::chrono::steady_clock::now();
    // Number of upcoming loads that fail
    int failures_left_ = 0;
    // Number of loads started
    std::uint64_t loads_ = 0;
    // Number of loads refused by the rate limit
    std::uint64_t refused_ = 0;
    // Number of loads in transit
    int in_transit_ = 0;
    // Maximum number of loads in transit at once
    int peak_transit_ = 0;
};

} // namespace

int run_store(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command("Stand-in for the weight store", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on", false,
                                        "127.0.0.1:0", "IP:PORT", command);
    TCLAP::ValueArg<double> rate("", "rate",
                                 "Maximum number of loads per second; 0 for no limit",
                                 false, 0, "number", command);
    TCLAP::ValueArg<double> burst("", "burst",
                                  "Maximum number of loads that may start at once", false,
                                  8, "number", command);
    TCLAP::ValueArg<int> load_ms("", "load-ms", "Duration of one load at full speed",
                                 false, 250, "milliseconds", command);
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
