#pragma once

#include <serving/telemetry/metrics.hpp>

#include <cstddef>
#include <string_view>

namespace marjorampath::serving
{

/// Requests received from callers.
inline constexpr metric requests_metric{.name = "marjorampath_requests_total",
                                        .help = "Requests of callers that were read."};
/// Requests by their answer.
inline constexpr metric answers_metric{
    .name = "marjorampath_answers_total",
    .help = "Requests by answer: of an endpoint, or the kind of error."};
/// Requests to deployments with organisations by whether they may run.
inline constexpr metric access_metric{
    .name = "marjorampath_access_total",
    .help = "Requests by what their caller's key said; without organisations none."};
/// Requests that may run by the caller's organisation.
inline constexpr metric organisations_metric{
    .name = "marjorampath_organisation_requests_total",
    .help = "Authorised requests by organisation; those beyond the first as `other`."};
/// Age of the proof that the configuration is the newest one.
inline constexpr metric configuration_age_metric{
    .name = "marjorampath_configuration_age_seconds",
    .help = "Time since the configuration was certainly the operator's newest one.",
    .kind = metric_kind::gauge};
/// Most organisations that `organisations_metric` names.
inline constexpr std::size_t max_organisation_labels = 64;
/// Attempts at endpoints by how they ended.
inline constexpr metric attempts_metric{.name = "marjorampath_attempts_total",
                                        .help = "Sends to endpoints by their end."};
/// Requests that another host was to serve by how that ended.
inline constexpr metric forwards_metric{
    .name = "marjorampath_forwards_total",
    .help = "Requests passed to other hosts, as no endpoint was reached, by end."};
/// Attempts at endpoints whose request rate was limited when they were made.
inline constexpr metric limited_sends_metric{
    .name = "marjorampath_limited_sends_total",
    .help = "Sends to endpoints that had named a limit on their request rate."};
/// Permits for requests to such endpoints by result.
inline constexpr metric permits_metric{
    .name = "marjorampath_permits_total",
    .help = "Permits for requests to endpoints with a limited rate, by result."};
/// Load requests to lease holders.
inline constexpr metric load_requests_metric{
    .name = "marjorampath_loads_asked_total",
    .help = "Adapter loads asked for at lease holders."};
/// Load and unload orders to engines by result.
inline constexpr metric orders_metric{.name = "marjorampath_orders_total",
                                      .help = "Orders to engines by their result."};
/// Answers to other hosts with this host's copy of the store's contents.
inline constexpr metric relays_metric{
    .name = "marjorampath_relays_total",
    .help = "Reads of this host's view of the store by other hosts, by result."};
/// Reads of other hosts' copies.
inline constexpr metric relay_reads_metric{
    .name = "marjorampath_relay_reads_total",
    .help = "Reads of other hosts' views of the store by result."};
/// Restorations of the store from a copy that this host noticed.
inline constexpr metric history_changes_metric{
    .name = "marjorampath_store_history_changes_total",
    .help = "Times that the store was found restored from a copy, by what was read."};
/// Bytes of messages that are held for others, beyond the allowance of each connection.
inline constexpr metric held_bytes_metric{
    .name = "marjorampath_held_message_bytes",
    .help = "Bytes of requests and answers that this host holds.",
    .kind = metric_kind::gauge};
/// Open connections by class.
inline constexpr metric connections_metric{.name = "marjorampath_open_connections",
                                           .help = "Open connections by class.",
                                           .kind = metric_kind::gauge};
/// Connections that were closed or whose request was ended for others by reason.
inline constexpr metric evictions_metric{
    .name = "marjorampath_evictions_total",
    .help = "Connections that made room for others, by what they waited for."};
/// Connections and messages that got no place or memory.
inline constexpr metric refusals_metric{
    .name = "marjorampath_host_full_total",
    .help = "Connections and messages that were refused, by what this host lacked."};
/// Time to the first byte of an endpoint's answer.
inline constexpr metric first_byte_metric{
    .name = "marjorampath_first_byte_seconds",
    .help = "Time from a request to the first byte of its endpoint's answer.",
    .kind = metric_kind::latency};
/// Time that requests waited for their adapter.
inline constexpr metric stall_metric{
    .name = "marjorampath_load_stall_seconds",
    .help = "Time that a request waited for its adapter before it was sent.",
    .kind = metric_kind::latency};

/// The metrics of an entry host's traffic.
struct entry_metrics
{
    /// Counters of the host's thread.
    metrics_shard& shard;

    /// Adds one to the counter of a metric with this label.
    void count(metric const& what, std::string_view name, std::string_view value) const
    {
        shard.number(what, metric_label(name, value)).add();
    }
};

} // namespace marjorampath::serving
