#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_catalog.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marjorampath
{

/// The software versions of each service's endpoints, now and in the recent past.
///
/// A stream whose origin is not known may go on only if no other version can have begun
/// it.
class software_history
{
public:
    /// Constructs a history without endpoints. `max_stream_age` is the longest time over
    /// which a stream may be continued.
    explicit software_history(duration max_stream_age) : max_stream_age_(max_stream_age)
    {
    }

    /// Notes that the listing of endpoints was read from service discovery at a time.
    /// Endpoints that came and went between two listings far apart were never seen.
    void on_listing(time_point listed_at);

    /// Processes a change to the endpoint catalog.
    void on_endpoint(endpoint_event const& event, time_point now);

    /// The version that began every stream of a service that can still be continued;
    /// empty if there may be several.
    ///
    /// A host that has known the endpoints for less than the longest age of a stream
    /// relies on their starts: during a rollout some have started recently.
    [[nodiscard]] std::optional<std::string>
    only_version(service_id service, time_point now, wall_milliseconds wall_now) const;

    /// Whether a process of a service's endpoint with another software version has ended
    /// since a time, or may have while there was no listing. What was before the first
    /// listing is not known.
    [[nodiscard]] bool another_version_ended(service_id service,
                                             std::string const& version,
                                             time_point since) const;

private:
    // What is kept of an endpoint's announcement
    struct present_endpoint
    {
        service_id service;
        std::string software_version;
        // In wall-clock milliseconds
        std::uint64_t started_at_ms = 0;
    };

    // Gap between two listings up to which each endpoint that served was listed: an entry
    // stays for three announcements, 1.2 s apart
    static constexpr duration max_listing_gap = std::chrono::milliseconds(3'600);

    duration max_stream_age_;
    // When the first endpoint was listed
    std::optional<time_point> known_since_;
    // When the last listing was read
    std::optional<time_point> listed_at_;
    // End of the last gap between listings in which endpoints may have come and gone
    std::optional<time_point> gap_end_;
    // Present endpoints
    std::map<endpoint_id, present_endpoint> endpoints_;
    // When the last process with a version ended, by service and version
    std::map<std::pair<service_id, std::string>, time_point> departed_;
};

} // namespace marjorampath
