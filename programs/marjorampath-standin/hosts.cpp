#include <programs/marjorampath-standin/http_server.hpp>
#include <programs/marjorampath-standin/records.hpp>
#include <programs/marjorampath-standin/subcommand.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <deque>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace marjorampath::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// The host list, which shows changes late.
class host_list
{
public:
    explicit host_list(std::chrono::milliseconds lag) : lag_(lag) {}

    // Puts the first list in force without a lag
    void start_with(std::string text)
    {
        shown_ = std::move(text);
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        auto const path = exchange.path();
        if (path == "/standin/hosts")
        {
            coming_.push_back(
                {std::chrono::steady_clock::now() + lag_, exchange.request().body()});
            co_return co_await exchange.reply(200, "{}");
        }
        if (path == "/standin/set")
        {
            auto const values = json::parse(exchange.request().body()).as_object();
            assign_member(values, "down", down_);
            std::int64_t lag_ms = lag_.count();
            assign_member(values, "lag_ms", lag_ms);
            lag_ = std::chrono::milliseconds(lag_ms);
            co_return co_await exchange.reply(200, "{}");
        }
        if (down_)
            co_return exchange.drop();
        if (path != "/v1/hosts")
            co_return co_await exchange.reply(404, "{}");
        show_due();
        co_await exchange.reply(200, shown_);
    }

private:
    struct change
    {
        std::chrono::steady_clock::time_point due;
        std::string text;
    };

    void show_due()
    {
        auto const now = std::chrono::steady_clock::now();
        while (!coming_.empty() && coming_.front().due <= now)
        {
            shown_ = std::move(coming_.front().text);
            coming_.pop_front();
        }
    }

    // Time before a change is shown
    std::chrono::milliseconds lag_;
    // List that is shown
    std::string shown_ = R"({"hosts":[]})";
    // Lists that are not shown yet
    std::deque<change> coming_;
    // Whether reads are dropped
    bool down_ = false;
};

} // namespace

int run_hosts(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command("Stand-in for the host list", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen at", false,
                                        "127.0.0.1:0", "IP:PORT", command);
    TCLAP::ValueArg<std::string> file("", "file", "JSON file of the first list", false,
                                      "", "file", command);
    TCLAP::ValueArg<int> lag_ms("", "lag-ms", "Time before a change is shown", false, 0,
                                "milliseconds", command);
    command.parse(arguments);

    asio::io_context context(1);
    host_list service{std::chrono::milliseconds(lag_ms.getValue())};
    if (file.isSet())
    {
        std::ifstream input(file.getValue(), std::ios::binary);
        if (!input)
            throw std::runtime_error("cannot read " + file.getValue());
        service.start_with({std::istreambuf_iterator<char>(input), {}});
    }
    http_server server(context, parse_listen_address(listen.getValue()),
                       [&service](http_exchange& exchange)
                       { return service.handle(exchange); });
    run_until_signal(context, server);
    return 0;
}

} // namespace marjorampath::standin
