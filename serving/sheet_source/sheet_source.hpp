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
/// and fetches the parts that are missing, by digest. Whatever goes wrong, the sheet in
/// force stays. Must be used from the executor's thread only.
class sheet_source
{
public:
    /// How to construct a sheet_source.
    struct options
    {
        /// Connection to the configuration service.
        http_reader::options server;
        /// How long one watch waits for a newer manifest.
        std::chrono::milliseconds watch_wait{20'000};
        /// Delays after failures.
        back_off::options delays;
    };

    /// Why a manifest of the configuration service was not taken.
    struct failure
    {
        /// The error; clear where the sheet itself was rejected.
        std::error_code error;
        /// What is wrong with the sheet.
        std::vector<sheet_problem> problems;
    };

    /// Called with each sheet that comes into force.
    using sheet_handler = std::function<void(std::shared_ptr<sheet const>)>;
    /// Called with each failure.
    using failure_handler = std::function<void(failure const&)>;

    /// `holder` must outlive the source.
    sheet_source(boost::asio::any_io_executor const& executor, options values,
                 sheet_holder& holder, sheet_handler on_sheet,
                 failure_handler on_failure);

    /// Watches until `stop` is called; to be spawned once.
    boost::asio::awaitable<void> run();

    /// Ends `run`.
    void stop();

private:
    // Waits for one newer manifest and takes it; whether the watch worked
    boost::asio::awaitable<bool> watch_once();

    // Fetches what a manifest names and puts it into force; whether all parts came
    boost::asio::awaitable<bool> take(sheet_manifest manifest);

    // Reports a failure
    void fail(std::error_code error, std::vector<sheet_problem> problems);

    // Settings
    options options_;
    // Connection to the configuration service
    configuration_client client_;
    // Waits between retries
    boost::asio::steady_timer timer_;
    // Delays between retries
    back_off delays_;
    // Sheet in force
    sheet_holder& holder_;
    // Receives new sheets
    sheet_handler on_sheet_;
    // Receives failures
    failure_handler on_failure_;
    // Revision of the manifest that was last dealt with
    std::uint64_t revision_ = 0;
    // Whether `stop` was called
    bool stopped_ = false;
};

} // namespace marjorampath::serving
