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

/// Counts of what a cell did and has.
struct cell_counts
{
    /// Requests that wait for an endpoint or an adapter.
    std::size_t queued = 0;
    /// Grants that were not released yet.
    std::size_t granted = 0;
    /// Loads that were ordered and have not finished.
    std::size_t loads_in_transit = 0;
    /// Load orders given so far.
    std::uint64_t loads = 0;
    /// Unload orders given so far.
    std::uint64_t unloads = 0;
    /// Requests refused so far.
    std::uint64_t refusals = 0;
};

/// The decisions of the owner of a cell: which endpoint runs a request, which adapters
/// are loaded and evicted, and in which order requests run.
///
/// Each event appends the decisions that follow from it. Each load or unload order is
/// answered by exactly one `on_load_finished` or `on_unload_finished`, also if it timed
/// out, unless the endpoint restarted or is gone. Each request is answered by exactly one
/// grant or refusal, unless it is cancelled first, and each grant is followed by exactly
/// one release. A refused request did not run and was not granted.
///
/// Events about an unknown request or endpoint are ignored, since reports may be late or
/// doubled.
class cell
{
public:
    /// Makes a cell without endpoints that may give orders and evict.
    explicit cell(cell_options options);
    cell(cell const&) = delete;
    cell& operator=(cell const&) = delete;
    ~cell();

    /// An entry host asks where a request may run. A request whose number is known
    /// already is ignored.
    void on_request(grant_request const& request, time_point now, cell_actions& out);

    /// A granted request no longer runs.
    void on_release(release_report const& report, time_point now, cell_actions& out);

    /// The caller of a queued request is gone; it gets no answer. A granted request ends
    /// by a release instead.
    void on_cancel(request_id request, time_point now, cell_actions& out);

    /// An endpoint was listed or has reported.
    void on_endpoint(endpoint_report const& report, time_point now, cell_actions& out);

    /// An endpoint is no longer listed.
    void on_endpoint_gone(endpoint_id endpoint, time_point now, cell_actions& out);

    /// A load order was carried out (`error_kind::none`) or has failed. An engine that
    /// has the adapter already carried it out.
    void on_load_finished(endpoint_id endpoint, adapter_version_id adapter,
                          error_kind error, time_point now, cell_actions& out);

    /// An unload order was carried out or has failed. An engine that does not have the
    /// adapter carried it out.
    void on_unload_finished(endpoint_id endpoint, adapter_version_id adapter,
                            error_kind error, time_point now, cell_actions& out);

    /// No sheet assigns the adapter version any more: past demand for it does not count,
    /// so that its copies are evicted first. Requests that were resolved by an earlier
    /// sheet still run on it.
    void on_adapter_retired(adapter_version_id adapter, time_point now,
                            cell_actions& out);

    /// A host has been silent longer than the longest deadline: its requests no longer
    /// run.
    void on_entry_host_lost(host_id host, time_point now, cell_actions& out);

    /// A grant of the earlier owner still runs.
    void on_grant_registered(grant_registration const& grant, time_point now,
                             cell_actions& out);

    /// Whether adapters may be evicted. A new owner calls this with false first, and with
    /// true when all grants of the earlier owner were registered.
    void allow_eviction(bool allowed, time_point now, cell_actions& out);

    /// Whether load and unload orders may be given. Without the lease they may not; then
    /// requests run only at endpoints that have the adapter, and others are refused.
    void on_orders_allowed(bool allowed, time_point now, cell_actions& out);

    /// Time has passed; to be called at the latest at `next_wakeup()`.
    void on_tick(time_point now, cell_actions& out);

    /// Time of the next decision that needs no event, if there is one.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Counts for metrics.
    [[nodiscard]] cell_counts counts() const;

    /// Whether a request waits here.
    [[nodiscard]] bool is_queued(request_id request) const;

    /// Whether a request is granted here and was not released.
    [[nodiscard]] bool is_granted(request_id request) const;

private:
    // Endpoints, adapters, queues and limits
    std::unique_ptr<cell_state> state_;
};

} // namespace marjorampath
