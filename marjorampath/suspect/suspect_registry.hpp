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
    /// Time for which a suspect is remembered.
    duration suspicion = std::chrono::minutes(10);
    /// Time for which a conviction is in force.
    duration conviction = std::chrono::hours(1);
    /// Time for which the host that saw a crash tells of its suspects: a dozen messages
    /// to each host. Convictions are told for as long as they are in force.
    duration spread_time = std::chrono::seconds(5);
    /// Suspects and convictions that are told at a time, so that a message stays small
    /// when engines with many requests die: about a kilobyte.
    std::size_t max_spread_records = 24;
    /// Time for which an operator's release is remembered and spread.
    duration release = std::chrono::hours(1);
    /// Number of requests of equal content that run at a time until one of them finished.
    std::size_t max_unproven_requests = 2;
    /// Largest number of suspects, convictions and proven contents that are remembered.
    std::size_t max_records = 4'096;
};

/// How a request may run by what is known of its content.
enum class suspicion
{
    /// Like any other.
    none,
    /// Alone at an endpoint, which gets nothing else meanwhile.
    alone,
    /// Not yet: a request of the same content has to end first.
    wait,
    /// Not at all: `error_kind::quarantined`.
    convicted
};

/// Which request contents were in flight when endpoints died.
///
/// All that a dying endpoint ran is suspect, runs again alone, and is convicted when it
/// was in flight at two crashes. A suspect that finishes is innocent. A content that
/// never finished runs at most twice at a time, so that two crashes are all that it can
/// cause where one owner sees all of its runs.
class suspect_registry
{
public:
    /// Makes a registry without suspects.
    explicit suspect_registry(suspect_options options);

    /// How a request may run now.
    [[nodiscard]] suspicion judge(time_point now, fingerprint_id fingerprint) const;

    /// Notes that a request is granted at an endpoint.
    void on_grant(request_id request, fingerprint_id fingerprint, endpoint_id endpoint);

    /// Notes that a request ended; `finished` where the endpoint gave its whole answer.
    void on_end(request_id request, bool finished);

    /// Notes that an endpoint died. The contents that were in flight there.
    std::vector<fingerprint_id> on_crash(time_point now, wall_milliseconds wall,
                                         endpoint_id endpoint, std::uint64_t boot_number);

    /// Takes what another host knows.
    void merge(time_point now, conviction const& other);

    /// Takes an operator's release, from here or from another host.
    void release(time_point now, conviction_release const& order);

    /// The suspects and convictions to spread: convictions first, then the suspects of
    /// the crashes that this host saw lately, the latest crash first; a bounded number.
    [[nodiscard]] std::vector<conviction> convictions(time_point now) const;

    /// The releases to spread.
    [[nodiscard]] std::vector<conviction_release> releases(time_point now) const;

    /// Forgets what expired.
    void forget_old(time_point now);

private:
    struct record
    {
        // What is known; `remaining` is not kept here
        conviction known;
        // Time at which it expires
        time_point expires;
        // Until when this host tells of it as a suspect; not set where another one saw it
        time_point spread_until;
    };

    struct released
    {
        // Wall-clock time of the order
        wall_milliseconds at{0};
        // Time at which it is forgotten
        time_point expires;
    };

    struct flight
    {
        // Content
        fingerprint_id fingerprint;
        // Endpoint that it runs at
        endpoint_id endpoint;
    };

    // Adds a crash to a content's record
    void add_crash(time_point now, wall_milliseconds wall, fingerprint_id fingerprint,
                   std::uint64_t crash);

    // Settings
    suspect_options options_;
    // Suspects and convictions by content
    std::map<fingerprint_id, record> records_;
    // Releases by content
    std::map<fingerprint_id, released> releases_;
    // Requests in flight
    std::unordered_map<request_id, flight> flights_;
    // Number of requests in flight by content
    std::unordered_map<fingerprint_id, std::size_t> copies_;
    // Contents that finished once
    std::set<fingerprint_id> proven_;
};

} // namespace marjorampath
