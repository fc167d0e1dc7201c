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

// Maximum size of a value, in bytes
constexpr std::size_t max_value_bytes = 1'048'576;

// Stand-in for the configuration service: values with revisions, watches and a limit on
// reads per second.
class configuration
{
public:
    configuration(asio::io_context& context, std::uint64_t limit)
        : context_(context), max_reads_per_second_(limit)
    {
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        auto const path = exchange.path();
        static constexpr std::string_view write_path = "/standin/values/";
        static constexpr std::string_view read_path = "/v1/values/";
        if (path.starts_with(write_path))
        {
            bool const fits = exchange.request().body().size() <= max_value_bytes;
            if (fits)
                put(path.substr(write_path.size()), exchange.request().body());
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
            apply_settings(json::parse(exchange.request().body()).as_object());
            co_return co_await exchange.reply(200, "{}");
        }
        if (path == "/standin/stats")
            co_return co_await exchange.reply(200, stats());
        if (down_)
            co_return exchange.drop();
        if (!path.starts_with(read_path))
            co_return co_await exchange.reply(404, "{}");
        if (!count_read())
            co_return co_await exchange.reply(429, "{}");
        co_await answer(exchange, path.substr(read_path.size()));
    }

    // Publishes the CSV files of a folder as the sheet `number`
    void put_sheet(std::string const& folder, std::uint64_t number)
    {
        // Put the manifest last, so that it never names a missing part
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

    // Sets a value under a new revision
    void put(std::string key, std::string text)
    {
        // While stale, readers do not see new values
        auto& values = stale_ ? hidden_values_ : values_;
        values[std::move(key)] = {.text = std::move(text), .revision = ++revision_};
    }

    // Applies the members of a request to `/standin/set`
    void apply_settings(json::object const& values)
    {
        assign_member(values, "down", down_);
        assign_member(values, "stale", stale_);
        assign_member(values, "limit", max_reads_per_second_);
        if (!stale_)
        {
            for (auto& [key, each] : hidden_values_)
                values_[key] = std::move(each);
            hidden_values_.clear();
        }
    }

    // Body of `GET /standin/stats`
    std::string stats() const
    {
        return json::serialize(json::object{{"reads", reads_},
                                            {"refused", refused_},
                                            {"peak_second", peak_reads_per_second_},
                                            {"waiting", waiting_watches_}});
    }

    // Counts a read; false where it exceeds the rate limit
    bool count_read()
    {
        auto const second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        if (second != current_second_)
            reads_in_second_ = 0;
        current_second_ = second;
        ++reads_;
        ++reads_in_second_;
        peak_reads_per_second_ = std::max(peak_reads_per_second_, reads_in_second_);
        if (reads_in_second_ <= max_reads_per_second_)
            return true;
        ++refused_;
        return false;
    }

    // Answers a read or, with the parameter `after`, a watch
    asio::awaitable<void> answer(http_exchange& exchange, std::string key)
    {
        auto const after_text = exchange.query("after");
        auto const wait_text = exchange.query("wait_ms");
        bool const is_watch = !after_text.empty();
        std::uint64_t const after = is_watch ? std::stoull(after_text) : 0;
        std::chrono::milliseconds const wait(wait_text.empty() ? 0
                                                               : std::stol(wait_text));
        auto const until = std::chrono::steady_clock::now() + wait;

        // A watch waits for a newer revision than `after`
        ++waiting_watches_;
        auto found = values_.find(key);
        while (is_watch && !down_ && std::chrono::steady_clock::now() < until &&
               (found == values_.end() || found->second.revision <= after))
        {
            co_await wait_for_change(until);
            found = values_.find(key);
        }
        --waiting_watches_;

        if (down_)
            co_return exchange.drop();
        if (found == values_.end())
            co_return co_await exchange.reply(404, "{}");
        if (is_watch && found->second.revision <= after)
            co_return co_await exchange.reply(304, "");
        exchange.add_header("X-Revision", std::to_string(found->second.revision));
        co_await exchange.reply(200, found->second.text);
    }

    // Waits until the next poll of a watch, at most until `until`
    asio::awaitable<void> wait_for_change(std::chrono::steady_clock::time_point until)
    {
        // Time between two checks of a watch for a change
        constexpr std::chrono::milliseconds poll_interval(20);
        asio::steady_timer timer(context_);
        timer.expires_at(
            std::min(until, std::chrono::steady_clock::now() + poll_interval));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Runs timers
    asio::io_context& context_;
    // Values that readers see
    std::map<std::string, value> values_;
    // Newer values that are hidden from readers while stale
    std::map<std::string, value> hidden_values_;
    // Last revision
    std::uint64_t revision_ = 0;
    // Limit of answered reads per second
    std::uint64_t max_reads_per_second_;
    // Whether connections of readers are closed without an answer
    bool down_ = false;
    // Whether changes are hidden from readers
    bool stale_ = false;
    // Second in which reads are counted
    std::chrono::seconds current_second_{0};
    // Reads in that second
    std::uint64_t reads_in_second_ = 0;
    // Maximum number of reads in one second, refused ones included
    std::uint64_t peak_reads_per_second_ = 0;
    // Number of reads, refused ones included
    std::uint64_t reads_ = 0;
    // Number of reads refused by the rate limit
    std::uint64_t refused_ = 0;
    // Number of watches in progress
    std::uint64_t waiting_watches_ = 0;
};

} // namespace

int run_configuration(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine command("Stand-in for the configuration service", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on", false,
                                        "127.0.0.1:0", "IP:PORT", command);
    TCLAP::ValueArg<std::string> sheet("", "sheet", "Folder of the sheet's CSV parts",
                                       false, "", "folder", command);
    TCLAP::ValueArg<std::uint64_t> number("", "sheet-number", "Number of the sheet",
                                          false, 1, "number", command);
    TCLAP::ValueArg<std::uint64_t> limit("", "limit",
                                         "Maximum number of reads per second", false,
                                         2000, "number", command);
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
