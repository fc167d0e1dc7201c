#include <programs/marjorampath-standin/http_server.hpp>
#include <programs/marjorampath-standin/records.hpp>
#include <programs/marjorampath-standin/sheet_folder.hpp>
#include <programs/marjorampath-standin/subcommand.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <map>

namespace marjorampath::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// The largest value, in bytes
constexpr std::size_t max_value_bytes = 1'048'576;

// The configuration service: values with revisions, watches, a bounded rate of reads.
class configuration
{
public:
    configuration(asio::io_context& context, std::uint64_t limit)
        : context_(context), limit_(limit)
    {
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        auto const path = exchange.path();
        static constexpr std::string_view written = "/standin/values/";
        static constexpr std::string_view read = "/v1/values/";
        if (path.starts_with(written))
        {
            bool const fits = exchange.request().body().size() <= max_value_bytes;
            if (fits)
                put(path.substr(written.size()), exchange.request().body());
            co_return co_await exchange.reply(fits ? 200 : 413, "{}");
        }
        if (path == "/standin/sheet")
        {
            auto const values = json::parse(exchange.request().body()).as_object();
            std::uint64_t number = 0;
            assign_member(values, "number", number);
            put_sheet(text_member(values, "dir"), number);
            co_return co_await exchange.reply(200, "{}");
        }
        if (path == "/standin/set")
        {
            set(json::parse(exchange.request().body()).as_object());
            co_return co_await exchange.reply(200, "{}");
        }
        if (path == "/standin/stats")
            co_return co_await exchange.reply(200, stats());
        if (down_)
            co_return exchange.drop();
        if (!path.starts_with(read))
            co_return co_await exchange.reply(404, "{}");
        if (!count_read())
            co_return co_await exchange.reply(429, "{}");
        co_await answer(exchange, path.substr(read.size()));
    }

    void put_sheet(std::string const& folder, std::uint64_t number)
    {
        // The manifest comes last, so that it never names a part that is missing
        auto const parts = read_sheet_folder(folder);
        auto const manifest = make_sheet_manifest(number, parts);
        for (auto const& part : parts)
            put("sheet/part/" + sheet_part_digest(part.text), part.text);
        put("sheet/manifest", manifest.to_csv());
    }

private:
    struct value
    {
        std::string text;
        std::uint64_t revision = 0;
    };

    void put(std::string key, std::string text)
    {
        // While stale, the new value is held back
        auto& values = stale_ ? held_back_ : values_;
        values[std::move(key)] = {.text = std::move(text), .revision = ++revision_};
    }

    void set(json::object const& values)
    {
        assign_member(values, "down", down_);
        assign_member(values, "stale", stale_);
        assign_member(values, "limit", limit_);
        if (!stale_)
        {
            for (auto& [key, each] : held_back_)
                values_[key] = std::move(each);
            held_back_.clear();
        }
    }

    std::string stats() const
    {
        return json::serialize(json::object{{"reads", reads_},
                                            {"refused", refused_},
                                            {"peak_second", peak_second_},
                                            {"waiting", waiting_}});
    }

    // Counts a read; whether the rate allows it
    bool count_read()
    {
        auto const second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        if (second != second_)
            in_second_ = 0;
        second_ = second;
        ++reads_;
        ++in_second_;
        peak_second_ = std::max(peak_second_, in_second_);
        if (in_second_ <= limit_)
            return true;
        ++refused_;
        return false;
    }

    asio::awaitable<void> answer(http_exchange& exchange, std::string key)
    {
        auto const after_text = exchange.query("after");
        auto const wait_text = exchange.query("wait_ms");
        bool const watched = !after_text.empty();
        std::uint64_t const after = watched ? std::stoull(after_text) : 0;
        std::chrono::milliseconds const wait(wait_text.empty() ? 0
                                                               : std::stol(wait_text));
        auto const until = std::chrono::steady_clock::now() + wait;

        // A watch waits for a newer revision
        ++waiting_;
        auto found = values_.find(key);
        while (watched && !down_ && std::chrono::steady_clock::now() < until &&
               (found == values_.end() || found->second.revision <= after))
        {
            co_await wait_for_change(until);
            found = values_.find(key);
        }
        --waiting_;

        if (down_)
            co_return exchange.drop();
        if (found == values_.end())
            co_return co_await exchange.reply(404, "{}");
        if (watched && found->second.revision <= after)
            co_return co_await exchange.reply(304, "");
        exchange.add_header("X-Revision", std::to_string(found->second.revision));
        co_await exchange.reply(200, found->second.text);
    }

    asio::awaitable<void> wait_for_change(std::chrono::steady_clock::time_point until)
    {
        // Interval at which a watch looks for a change
        constexpr std::chrono::milliseconds look(20);
        asio::steady_timer timer(context_);
        timer.expires_at(std::min(until, std::chrono::steady_clock::now() + look));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Runs timers
    asio::io_context& context_;
    // Values that readers see
    std::map<std::string, value> values_;
    // Newer values that they do not see yet
    std::map<std::string, value> held_back_;
    // Last revision
    std::uint64_t revision_ = 0;
    // Reads a second that are answered
    std::uint64_t limit_;
    // Whether reads are dropped
    bool down_ = false;
    // Whether changes are held back
    bool stale_ = false;
    // Second that reads are counted in
    std::chrono::seconds second_{0};
    // Reads in that second
    std::uint64_t in_second_ = 0;
    // Most reads in a second
    std::uint64_t peak_second_ = 0;
    // Reads in total
    std::uint64_t reads_ = 0;
    // Reads refused
    std::uint64_t refused_ = 0;
    // Watches that wait
    std::uint64_t waiting_ = 0;
};

} // namespace

int run_configuration(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command("Stand-in for the configuration service", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen at", false,
                                        "127.0.0.1:0", "IP:PORT", command);
    TCLAP::ValueArg<std::string> sheet("", "sheet", "Folder of the sheet's CSV parts",
                                       false, "", "folder", command);
    TCLAP::ValueArg<std::uint64_t> number("", "sheet-number", "Number of the sheet",
                                          false, 1, "number", command);
    TCLAP::ValueArg<std::uint64_t> limit("", "limit", "Reads a second", false, 2000,
                                         "number", command);
    command.parse(arguments);

    asio::io_context context(1);
    configuration service(context, limit.getValue());
    if (sheet.isSet())
        service.put_sheet(sheet.getValue(), number.getValue());
    http_server server(context, parse_listen_address(listen.getValue()),
                       [&service](http_exchange& exchange)
                       { return service.handle(exchange); });
    run_until_signal(context, server);
    return 0;
}

} // namespace marjorampath::standin
