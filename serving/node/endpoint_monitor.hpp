#pragma once

#include <marjorampath/cell/endpoint_report.hpp>
#include <marjorampath/sheet/sheet.hpp>
#include <serving/endpoint/directory.hpp>
#include <serving/host_list/host_entry.hpp>
#include <serving/remote/http_reader.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjorampath::serving
{

/// How endpoints are watched.
struct endpoint_monitor_options
{
    /// Region whose endpoints are watched.
    std::string region;
    /// Time between two reads of an engine's load.
    std::chrono::milliseconds interval{1'000};
    /// Time after which a read has failed.
    std::chrono::milliseconds timeout{2'000};
};

/// Who is told of endpoints.
struct endpoint_monitor_events
{
    /// An endpoint was listed or has reported.
    std::function<void(endpoint_report const&)> on_report;
    /// An endpoint is no longer listed.
    std::function<void(endpoint_id)> on_gone;
};

/// Knows the endpoints of the host list and reads the load of the engines among them.
/// Used on the control thread only.
class endpoint_monitor
{
public:
    /// Makes a monitor without endpoints. The loop outlives it.
    endpoint_monitor(boost::asio::io_context& control, endpoint_monitor_options options,
                     endpoint_monitor_events events);

    /// Takes a host list and a sheet. Endpoints whose kind the sheet does not have are
    /// left out.
    void update(std::vector<host_entry> const& hosts, sheet const& sheet_in_force);

    /// The endpoints.
    [[nodiscard]] std::shared_ptr<directory const> const& endpoints() const noexcept
    {
        return endpoints_;
    }

    /// The name `ADAPTER@VERSION` by which an engine last reported a version that it
    /// holds, or nothing. Knows versions that the sheet in force does not name.
    [[nodiscard]] std::optional<std::string>
    resident_name(endpoint_id engine, adapter_version_id version) const;

    /// Stops reading.
    void stop();

private:
    // What is known of one endpoint
    struct watched
    {
        // As the host list and the sheet have it
        endpoint_report listed;
        // Reads its load; null for plain services
        std::shared_ptr<http_reader> reader;
        // Names of the adapter versions that it held when it last reported
        std::vector<std::string> resident_names;
        // Whether it is listed still
        bool stopped = false;
        // Whether the last read failed
        bool lost = false;
    };

    // Adds or changes one endpoint
    void watch(directory_entry const& entry, endpoint_kind const& kind);

    // Stops watching what is no longer listed
    void forget_unlisted();

    // Reads the load of one engine until it is no longer listed
    boost::asio::awaitable<void> read_loads(std::shared_ptr<watched> engine);

    // The control thread
    boost::asio::io_context* control_;
    // Options
    endpoint_monitor_options options_;
    // Who is told
    endpoint_monitor_events events_;
    // The endpoints as traffic threads use them
    std::shared_ptr<directory const> endpoints_ = std::make_shared<directory const>();
    // What is known of each
    std::unordered_map<endpoint_id, std::shared_ptr<watched>> watched_;
};

} // namespace marjorampath::serving
