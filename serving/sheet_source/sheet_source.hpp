#pragma once

#include <serving/configuration/configuration_client.hpp>
#include <serving/remote/back_off.hpp>
#include <serving/sheet_source/sheet_holder.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace marjorampath::serving
{

/// Key of the manifest in the configuration service.
inline constexpr std::string_view sheet_manifest_key = "sheet/manifest";

/// Keeps a sheet_holder up to date with the configuration service: watches the manifest
/// and fetches missing parts by digest. The sheet in force remains so after any failure.
/// Use only from the executor's thread.
class sheet_source
{
public:
    /// Options of a sheet_source.
    struct options
    {
        /// Connection to the configuration service.
        http_reader::options server;
        /// Maximum time for which one watch request waits for a newer manifest.
        std::chrono::milliseconds watch_wait{20'000};
        /// Back-off after failures.
        back_off::options delays;
    };

    /// Why a sheet from the configuration service was not put into force.
    struct failure
    {
        /// The read error; clear if the sheet was rejected.
        std::error_code error;
        /// Problems of a rejected sheet.
        std::vector<sheet_problem> problems;
    };

    /// Called with each new sheet in force.
    using sheet_handler = std::function<void(std::shared_ptr<sheet const>)>;
    /// Called with each failure.
    using failure_handler = std::function<void(failure const&)>;

    /// `holder` must outlive the source.
    sheet_source(boost::asio::any_io_executor const& executor, options values,
                 sheet_holder& holder, sheet_handler on_sheet,
                 failure_handler on_failure);

    /// Watches until `stop` is called; spawn it once.
    boost::asio::awaitable<void> run();

    /// Ends `run`.
    void stop();

private:
    // Waits for one newer manifest and processes it; returns false if the next watch has
    // to wait for the back-off
    boost::asio::awaitable<bool> watch_once();

    // Fetches the missing parts of a manifest and offers the sheet to the holder; returns
    // false if a part could not be fetched
    boost::asio::awaitable<bool> fetch_and_offer(sheet_manifest manifest);

    // Calls the failure handler, unless stopped
    void report_failure(std::error_code error, std::vector<sheet_problem> problems);

    // Set at construction
    options options_;
    // Reads from the configuration service
    configuration_client client_;
    // Delays retries
    boost::asio::steady_timer timer_;
    // Computes the delays between retries
    back_off delays_;
    // Holds the sheet in force; not owned
    sheet_holder& holder_;
    // Receives new sheets
    sheet_handler on_sheet_;
    // Receives failures
    failure_handler on_failure_;
    // Revision of the last processed manifest
    std::uint64_t revision_ = 0;
    // Whether `stop` was called
    bool stopped_ = false;
};

} // namespace marjorampath::serving
