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

/// Options of the endpoint monitor.
struct endpoint_monitor_options
{
    /// Region whose endpoints are monitored.
    std::string region;
    /// Pause between two polls of an engine.
    std::chrono::milliseconds interval{1'000};
    /// Timeout of a poll.
    std::chrono::milliseconds timeout{2'000};
};

/// Callbacks for changes of endpoints; called on the control thread.
struct endpoint_monitor_events
{
    /// A plain service was added or its leaving state changed, or an engine has reported
    /// or stopped answering.
    std::function<void(endpoint_report const&)> on_report;
    /// An endpoint is no longer listed.
    std::function<void(endpoint_id)> on_gone;
};

/// Keeps the endpoints of the host list and polls the engines among them (`GET /load`).
/// Must be used on the control thread only.
class endpoint_monitor
{
public:
    /// Creates a monitor without endpoints. `control` must outlive it.
    endpoint_monitor(boost::asio::io_context& control, endpoint_monitor_options options,
                     endpoint_monitor_events events);

    /// Applies a host list and a sheet. Endpoints of other regions, or of a kind that the
    /// sheet does not define, are ignored.
    void update(std::vector<host_entry> const& hosts, sheet const& sheet_in_force);

    /// The endpoints of the last update. An update replaces the directory as a whole.
    [[nodiscard]] std::shared_ptr<directory const> const& endpoints() const noexcept
    {
        return endpoints_;
    }

    /// The name `ADAPTER@VERSION` of an adapter version that the engine's last report
    /// contained, or nothing. Includes versions that are not in the sheet in force.
    [[nodiscard]] std::optional<std::string>
    resident_name(endpoint_id engine, adapter_version_id version) const;

    /// Stops polling.
    void stop();

private:
    // State of one endpoint
    struct watched_endpoint
    {
        // Report made from the host list and the sheet alone
        endpoint_report listed;
        // Connection for polls; null for plain services
        std::shared_ptr<http_reader> reader;
        // Adapter versions in its last report, as `ADAPTER@VERSION`
        std::vector<std::string> resident_names;
        // Whether it was removed from the host list or the monitor was stopped
        bool stopped = false;
        // Whether the last poll failed
        bool poll_failed = false;
    };

    // Adds or updates one endpoint
    void update_endpoint(directory_entry const& entry, endpoint_kind const& kind);

    // Removes endpoints that are no longer listed
    void remove_unlisted_endpoints();

    // Polls one engine until it is no longer listed
    boost::asio::awaitable<void> poll_engine(std::shared_ptr<watched_endpoint> engine);

    // Event loop of the control thread
    boost::asio::io_context* control_;
    endpoint_monitor_options options_;
    endpoint_monitor_events events_;
    // The endpoints; shared with the traffic threads
    std::shared_ptr<directory const> endpoints_ = std::make_shared<directory const>();
    // State of each endpoint
    std::unordered_map<endpoint_id, std::shared_ptr<watched_endpoint>> watched_;
};

} // namespace marjorampath::serving
