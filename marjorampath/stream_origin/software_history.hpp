#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/store_position.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/deployment/endpoint_history.hpp>
#include <marjorampath/stream_origin/possible_versions.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marjorampath
{

struct stream_begin;

/// Settings of a software history.
struct software_history_options
{
    /// Longest time over which a stream may be continued.
    duration max_stream_age = std::chrono::seconds(30);
    /// Time within which every host has listed a change of service discovery. Until then
    /// another host may begin streams at an endpoint that is gone from this host's
    /// listing: such endpoints serve on for seconds.
    duration max_listing_delay = std::chrono::milliseconds(2'500);
};

/// The software versions of each service's endpoints, now and in the recent past, and
/// since when they are known without a gap.
///
/// A stream whose origin is not known may go on only if no other version can have begun
/// it at any host. What ended before this host's first listing, or in a gap between two
/// listings, is unknown until it is read from the history of service discovery.
class software_history
{
public:
    /// Constructs a history without endpoints.
    explicit software_history(software_history_options options) : options_(options) {}

    /// Notes that the listing of endpoints at a position was read from service discovery
    /// at a time. Endpoints that came and went between two listings far apart were never
    /// seen.
    void on_listing(time_point listed_at, store_position position);

    /// Processes a change to the endpoint catalog.
    void on_endpoint(endpoint_event const& event, time_point now);

    /// Adds what the history of service discovery, read at a time, says of endpoints that
    /// this host has never listed. Ignored unless it reaches to the listings without a
    /// gap.
    void on_history(endpoint_history const& history, time_point read_at,
                    wall_milliseconds wall_read_at);

    /// Whether each endpoint that can have begun a stream is known, if its caller tells
    /// its age truly.
    [[nodiscard]] bool is_known(stream_begin const& begin) const;

    /// Time since which endpoints must be known for that.
    [[nodiscard]] time_point needed_since(stream_begin const& begin) const;

    /// The versions of a service's endpoints that can have begun a stream.
    [[nodiscard]] possible_versions find_versions(service_id service,
                                                  stream_begin const& begin) const;

private:
    // What is kept of an endpoint's announcement
    struct present_endpoint
    {
        service_id service;
        std::string software_version;

        friend bool operator==(present_endpoint const&,
                               present_endpoint const&) = default;
    };

    // A listing without a gap between it and the last one
    struct listing
    {
        time_point listed_at;
        store_position position;
    };

    // Gap between two listings up to which each endpoint that served was listed: an entry
    // stays for three announcements, 1.2 s apart
    static constexpr duration max_listing_gap = std::chrono::milliseconds(3'600);

    // Largest difference between the wall clocks of this host and an endpoint's
    static constexpr duration max_clock_error = std::chrono::seconds(2);

    // Notes that a process with this version ended at a time at the latest
    void note_ended(present_endpoint const& endpoint, time_point ended_by);

    // Whether an endpoint that had ended by a time, by this host's listings, may have
    // been sent requests by another host since a time
    [[nodiscard]] bool may_have_served(time_point ended_by, time_point since) const;

    software_history_options options_;
    // The first listing behind which there was no gap
    std::optional<listing> first_listing_;
    // When the last listing was read
    std::optional<time_point> listed_at_;
    // Time since which each endpoint that served is known; with `known_after_`, the
    // position behind which no change is missing
    std::optional<time_point> known_since_;
    store_position known_after_;
    // Present endpoints
    std::map<endpoint_id, present_endpoint> endpoints_;
    // Latest time at which a process with a version may have ended, by service and
    // version
    std::map<std::pair<service_id, std::string>, time_point> ended_;
    // The same of processes whose service and version are not known
    std::optional<time_point> unknown_ended_;
};

} // namespace marjorampath
