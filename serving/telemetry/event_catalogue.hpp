#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// Events written to the log. The value of an enumerator is the event number; it never
/// changes and is never reused for another event.
///
/// 1xx: process and settings; 2xx: sheet and platform services; 3xx: links and
/// membership; 4xx: leases and ownership; 5xx: endpoints and adapters; 6xx:
/// requests, keys and crash suspects; 7xx: administration.
enum class event : std::uint16_t
{
    node_started = 100,
    node_ready = 101,
    shutdown_started = 102,
    shutdown_finished = 103,
    settings_rejected = 104,
    settings_reloaded = 105,
    pause_detected = 106,
    internal_error = 107,
    log_lines_lost = 108,
    listener_opened = 109,
    listener_failed = 110,
    requests_ended = 111,

    sheet_accepted = 200,
    sheet_rejected = 201,
    sheet_older_ignored = 202,
    sheet_fetch_failed = 203,
    configuration_unreachable = 204,
    configuration_reachable = 205,
    host_list_unreachable = 206,
    host_list_changed = 207,
    deployment_accepted = 210,
    deployment_ignored = 211,
    store_unreachable = 212,
    store_reachable = 213,
    store_entry_ignored = 214,
    version_announced = 215,
    view_relayed = 216,
    relay_failed = 217,
    operator_read_failed = 218,
    missing_entries_kept = 219,
    operator_relayed = 220,
    listing_aged = 221,
    listing_renewed = 222,
    operator_history_changed = 223,
    listing_history_changed = 224,
    configuration_unconfirmed = 225,
    configuration_confirmed = 226,
    organisation_ignored = 227,
    operator_listed = 228,

    link_opened = 300,
    link_lost = 301,
    link_refused = 302,
    link_version_unknown = 303,
    member_suspected = 310,
    member_dead = 311,
    member_alive = 312,
    member_left = 313,
    heartbeat_ignored = 314,

    lease_gained = 400,
    lease_lost = 401,
    lease_released = 402,
    owner_changed = 403,
    owner_unreachable = 404,
    fencing_refused = 405,
    reregistration_complete = 406,

    endpoint_reachable = 500,
    endpoint_lost = 501,
    endpoint_restarted = 502,
    endpoint_leaving = 503,
    endpoint_ejected = 504,
    rate_limit_changed = 505,
    endpoint_field_ignored = 506,
    permit_refused = 507,
    endpoint_probed = 508,
    service_unreachable = 509,
    adapter_loaded = 510,
    adapter_unloaded = 511,
    adapter_load_failed = 512,
    adapter_missing = 513,
    adapter_unwanted = 514,
    endpoint_appeared = 515,
    service_reachable = 516,
    pause_requested = 517,
    kept_parts_read = 518,
    endpoint_history_read = 519,
    load_asked = 520,
    load_decided = 521,
    order_given = 522,
    engine_reported = 523,

    request_failed = 600,
    request_retried = 601,
    request_shed = 602,
    request_decided = 603,
    attempt_ended = 604,
    request_answered = 605,
    request_rejected = 606,
    stream_resumed = 607,
    request_forwarded = 608,
    request_limit_exceeded = 609,
    answer_limit_exceeded = 610,
    access_refused = 611,
    connection_evicted = 612,
    connection_refused = 613,
    message_refused = 614,
    handler_failed = 615,
    memory_too_small = 616,
    request_suspected = 620,
    request_convicted = 621,
    conviction_expired = 622,
    conviction_released = 623,
    part_suspected = 624,
    part_convicted = 625,
    part_refused = 626
};

/// Severity of an event.
enum class severity : std::uint8_t
{
    /// Normal operation.
    info,
    /// Handled without help, but should be reviewed by an operator in working hours.
    warning,
    /// Something was lost or rejected that should not have been.
    error
};

/// One row of the event catalogue.
struct event_entry
{
    /// The event; its value is its number.
    event id;
    /// Severity.
    severity level;
    /// Name as written to the log.
    std::string_view name;
    /// What happened, and the action to take if one is needed.
    std::string_view text;
};

/// The name of a severity.
std::string_view to_string(severity level) noexcept;

/// All events in ascending order of their numbers.
std::span<event_entry const> all_events() noexcept;

/// The catalogue row of an event.
event_entry const& find_event_entry(event id) noexcept;

/// The catalogue as a Markdown page, which is the content of docs/EVENTS.md.
std::string event_catalogue_page();

} // namespace marjorampath::serving
