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

// Stand-in for the host list service. Readers see each new list after a lag.
class host_list
{
public:
    explicit host_list(std::chrono::milliseconds lag) : lag_(lag) {}

    // Sets the initial list, visible at once
    void set_initial_list(std::string text)
    {
        visible_list_ = std::move(text);
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        auto const path = exchange.path();
        if (path == "/standin/hosts")
        {
            pending_lists_.push_back(
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
        publish_due_lists();
        co_await exchange.reply(200, visible_list_);
    }

private:
    // A list that readers do not see yet
    struct pending_list
    {
        std::chrono::steady_clock::time_point due;
        std::string text;
    };

    // Makes the newest list whose lag is over visible
    void publish_due_lists()
    {
        auto const now = std::chrono::steady_clock::now();
        while (!pending_lists_.empty() && pending_lists_.front().due <= now)
        {
            visible_list_ = std::move(pending_lists_.front().text);
            pending_lists_.pop_front();
        }
    }

    // Time from a new list until readers see it
    std::chrono::milliseconds lag_;
    // List that readers see
    std::string visible_list_ = R"({"hosts":[]})";
    // Lists that readers do not see yet, the oldest first
    std::deque<pending_list> pending_lists_;
    // Whether connections of readers are closed without an answer
    bool down_ = false;
};

} // namespace

int run_hosts(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command("Stand-in for the host list", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on", false,
                                        "127.0.0.1:0", "IP:PORT", command);
    TCLAP::ValueArg<std::string> file("", "file", "JSON file of the initial list", false,
                                      "", "file", command);
    TCLAP::ValueArg<int> lag_ms("", "lag-ms", "Time from a change until readers see it",
                                false, 0, "milliseconds", command);
    command.parse(arguments);

    asio::io_context context(1);
    host_list service{std::chrono::milliseconds(lag_ms.getValue())};
    if (file.isSet())
    {
        std::ifstream input(file.getValue(), std::ios::binary);
        if (!input)
            throw std::runtime_error("cannot read " + file.getValue());
        service.set_initial_list({std::istreambuf_iterator<char>(input), {}});
    }
    http_server server(context, parse_listen_address(listen.getValue()),
                       [&service](http_exchange& exchange)
                       { return service.handle(exchange); });
    run_until_signal(context, server);
    return 0;
}

} // namespace marjorampath::standin
