#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/suspect/conviction.hpp>
#include <marjorampath/suspect/conviction_release.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace marjorampath
{

/// Settings of a `suspect_registry`.
struct suspect_options
{
    /// Time for which a suspect is kept after its crash.
    duration suspect_duration = std::chrono::minutes(10);
    /// Duration of a conviction.
    duration conviction_duration = std::chrono::hours(1);
    /// Time for which the host that observed a crash spreads its suspects: enough for a
    /// dozen messages to each host. Convictions are spread for as long as they are in
    /// force.
    duration spread_time = std::chrono::seconds(5);
    /// Largest number of suspects and convictions in one message, about a kilobyte. Keeps
    /// messages small when engines with many requests crash.
    std::size_t max_spread_records = 24;
    /// Time for which an operator's release is kept and spread. Not read by the registry,
    /// which uses `conviction_release::remaining`.
    duration release_duration = std::chrono::hours(1);
    /// Largest number of concurrent requests of one content until one of them finishes.
    std::size_t max_unproven_requests = 2;
    /// Largest number of suspects and convictions that are kept, and of contents known to
    /// finish.
    std::size_t max_records = 4'096;
};

/// How a request may run, depending on the crashes of its content.
enum class run_restriction
{
    /// Without restriction.
    none,
    /// Alone at an endpoint, which runs no other request meanwhile.
    alone,
    /// Only after a request of the same content has ended.
    wait,
    /// Not at all: `error_kind::quarantined`.
    convicted
};

/// Records which request contents were in flight when endpoints crashed.
///
/// Every content in flight at a crash that is not known to finish becomes a suspect, is
/// run again alone, and is convicted at its second crash. A suspect that finishes is
/// cleared. A content that never finished has at most two concurrent requests, so it can
/// cause at most two crashes where one owner grants all of its requests.
class suspect_registry
{
public:
    /// Makes a registry without suspects.
    explicit suspect_registry(suspect_options options);

    /// How a request of this content may run now.
    [[nodiscard]] run_restriction check_restriction(time_point now,
                                                    fingerprint_id fingerprint) const;

    /// Registers a request that was granted at an endpoint.
    void on_grant(request_id request, fingerprint_id fingerprint, endpoint_id endpoint);

    /// Removes a request that ended; `finished` if the endpoint answered it completely.
    void on_end(request_id request, bool finished);

    /// Records the crash of an endpoint and ends its requests. Returns the contents that
    /// were in flight there and never finished before, whether they are now suspects or
    /// convicted.
    std::vector<fingerprint_id> on_crash(time_point now, wall_milliseconds wall,
                                         endpoint_id endpoint, std::uint64_t boot_number);

    /// Merges a suspect or conviction that was received by gossip or observed by this
    /// host.
    void merge(time_point now, conviction const& other);

    /// Applies an operator's release, given at this host or received from another.
    void release(time_point now, conviction_release const& command);

    /// At most `max_spread_records` records to spread: convictions, then the suspects of
    /// recent crashes that this host observed; each group with the latest crash first.
    [[nodiscard]] std::vector<conviction> convictions(time_point now) const;

    /// The releases to spread.
    [[nodiscard]] std::vector<conviction_release> releases(time_point now) const;

    /// Removes expired records and releases.
    void forget_old(time_point now);

private:
    struct record
    {
        // `remaining` is unused here; see `expires`
        conviction known;
        time_point expires;
        // Time until which this host spreads the suspect; unset if another host observed
        // the crash
        time_point spread_until;
    };

    struct released
    {
        // Wall-clock time of the release
        wall_milliseconds at{0};
        // Time at which the entry is removed
        time_point expires;
    };

    struct running_request
    {
        fingerprint_id fingerprint;
        // Endpoint that runs the request
        endpoint_id endpoint;
    };

    // Adds a crash to a content's record
    void add_crash(time_point now, wall_milliseconds wall, fingerprint_id fingerprint,
                   std::uint64_t crash);

    suspect_options options_;
    // Suspects and convictions by content
    std::map<fingerprint_id, record> records_;
    // Releases by content
    std::map<fingerprint_id, released> releases_;
    // Requests in flight
    std::unordered_map<request_id, running_request> running_;
    // Number of requests in flight by content
    std::unordered_map<fingerprint_id, std::size_t> running_counts_;
    // Contents that finished once
    std::set<fingerprint_id> proven_;
};

} // namespace marjorampath
