#pragma once

#include <marjorampath/cell/cell_action.hpp>
#include <marjorampath/cell/cell_options.hpp>
#include <marjorampath/cell/endpoint_report.hpp>
#include <marjorampath/cell/grant_registration.hpp>
#include <marjorampath/cell/grant_request.hpp>
#include <marjorampath/cell/release_report.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace marjorampath
{

struct cell_state;

/// Counters and gauges of a cell.
struct cell_counts
{
    /// Requests queued for an endpoint or an adapter.
    std::size_t queued = 0;
    /// Grants not yet released.
    std::size_t granted = 0;
    /// Ordered loads that have not finished, including those that follow an unload.
    std::size_t loads_in_transit = 0;
    /// Loads planned so far. One that follows an unload counts even if it is not ordered
    /// after it, for example because the unload failed.
    std::uint64_t loads = 0;
    /// Unload orders given so far.
    std::uint64_t unloads = 0;
    /// Requests refused so far.
    std::uint64_t refusals = 0;
};

/// Makes the decisions of the owner of a cell: which endpoint runs a request, which
/// adapters are loaded and evicted, and in which order requests run.
///
/// Each event appends its decisions to `out`. Each load or unload order is
/// followed by exactly one `on_load_finished` or `on_unload_finished`, also if it timed
/// out, unless the endpoint restarted or was removed. Each request is answered by exactly
/// one grant or refusal, unless it is cancelled first, and each grant is followed by
/// exactly one release. A refused request was never granted and did not run.
///
/// Events about an unknown request or endpoint are ignored, since reports may be late or
/// duplicated.
class cell
{
public:
    /// Makes a cell without endpoints; load and unload orders and evictions are allowed.
    explicit cell(cell_options options);
    cell(cell const&) = delete;
    cell& operator=(cell const&) = delete;
    ~cell();

    /// An entry host requests a grant. A request whose number is already known is
    /// ignored.
    void on_request(grant_request const& request, time_point now, cell_actions& out);

    /// A granted request has ended.
    void on_release(release_report const& report, time_point now, cell_actions& out);

    /// The caller of a queued request disconnected; the request is dropped without an
    /// answer. A granted request ends by a release instead.
    void on_cancel(request_id request, time_point now, cell_actions& out);

    /// An endpoint was added to the list of endpoints or has sent a report.
    void on_endpoint(endpoint_report const& report, time_point now, cell_actions& out);

    /// An endpoint was removed from the list of endpoints.
    void on_endpoint_gone(endpoint_id endpoint, time_point now, cell_actions& out);

    /// A load order succeeded (`error_kind::none`) or failed. It also counts as a success
    /// where the engine already had the adapter.
    void on_load_finished(endpoint_id endpoint, adapter_version_id adapter,
                          error_kind error, time_point now, cell_actions& out);

    /// An unload order succeeded (`error_kind::none`) or failed. It also counts as a
    /// success where the engine did not have the adapter.
    void on_unload_finished(endpoint_id endpoint, adapter_version_id adapter,
                            error_kind error, time_point now, cell_actions& out);

    /// The current sheet no longer assigns the adapter version. Its demand estimate is
    /// cleared, so that its copies are evicted first. Requests resolved with an earlier
    /// sheet may still run on it.
    void on_adapter_retired(adapter_version_id adapter, time_point now,
                            cell_actions& out);

    /// An entry host has been silent for longer than the longest deadline, so none of its
    /// requests can still run. Cancels the queued ones and releases the granted ones.
    void on_entry_host_lost(host_id host, time_point now, cell_actions& out);

    /// A request that the earlier owner granted still runs.
    void on_grant_registered(grant_registration const& grant, time_point now,
                             cell_actions& out);

    /// Sets whether adapters may be evicted. A new owner calls this with false first, and
    /// with true once all grants of the earlier owner are registered.
    void allow_eviction(bool allowed, time_point now, cell_actions& out);

    /// Sets whether load and unload orders may be given; they need the lease. Without it,
    /// requests run only at endpoints that hold the adapter, and others are refused;
    /// isolated requests already queued for a missing adapter wait for the permission or
    /// until they expire.
    void on_orders_allowed(bool allowed, time_point now, cell_actions& out);

    /// Makes the decisions that are due. Call it no later than at `next_wakeup()`.
    void on_tick(time_point now, cell_actions& out);

    /// Time of the next decision that does not depend on an event, if there is one.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Counts for metrics.
    [[nodiscard]] cell_counts counts() const;

    /// Whether a request is queued.
    [[nodiscard]] bool is_queued(request_id request) const;

    /// Whether a request is granted and not yet released.
    [[nodiscard]] bool is_granted(request_id request) const;

private:
    // State and decisions
    std::unique_ptr<cell_state> state_;
};

} // namespace marjorampath
