#pragma once

#include <marjorampath/core/store_position.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace marjorampath
{

/// How a new listing changed an endpoint.
enum class endpoint_change : std::uint8_t
{
    /// Listed for the first time.
    appeared,
    /// Its process restarted, or its address, port or service changed.
    restarted,
    /// It started to shut down.
    draining,
    /// It is no longer listed.
    gone,
    /// Its announcement was written again without one of the changes above.
    updated
};

/// One change to the catalog.
struct endpoint_event
{
    endpoint_change change = endpoint_change::updated;
    /// Its announcement; for `gone`, the last known one.
    endpoint_announcement endpoint;
    /// Start time of the process that has ended, for `restarted` and `gone`.
    std::uint64_t ended_process_started_at_ms = 0;
};

/// The known endpoints, built from listings of service discovery.
///
/// Listings may arrive from several sources out of order. While an endpoint is
/// listed, its entry never returns to an older position, and it stays draining until its
/// process restarts or its address, port or service changes.
///
/// The first listing of a new era shows the copy that the store was restored from, with
/// entries that are older than the known ones. For the grace period such an entry only
/// counts if it was written since then, and a missing one is kept. A process that was
/// gone before stays gone until it writes again or a new one starts.
class endpoint_catalog
{
public:
    /// Settings.
    struct options
    {
        /// Time after an outage of service discovery during which missing entries are
        /// kept: live endpoints announce themselves again within about two seconds.
        duration reregistration_grace = std::chrono::milliseconds(2'300);
        /// Gap between two listings above which service discovery counts as having been
        /// unavailable, unless another host has read it in between. Entries expire after
        /// three missed announcements, 1.2 s apart, so that no entry of a live endpoint
        /// expires in a shorter outage.
        duration outage_threshold = std::chrono::milliseconds(2'400);
        /// How long an entry with an earlier start than the known one must stay listed
        /// until it counts. A live process writes again within its announcement interval
        /// of 1.2 s, so that a late entry of an earlier one is gone by then.
        duration earlier_start_delay = std::chrono::milliseconds(1'300);
        /// How long a process that said it is leaving, or that is gone, is remembered.
        duration leaving_memory = std::chrono::minutes(10);
    };

    /// Constructs an empty catalog.
    explicit endpoint_catalog(options values) : options_(values) {}

    /// Applies a full listing of the given position and returns the changes. A listing
    /// older than the last one is ignored. `listed_at` is when the listing was read from
    /// service discovery, by this host or by the one that relayed it, and
    /// `available_since` since when that host knows of no outage; empty for `listed_at`.
    std::vector<endpoint_event>
    apply_listing(time_point listed_at, store_position position,
                  std::vector<endpoint_announcement> listing,
                  std::optional<time_point> available_since = {});

    /// Applies a listing of the given position of which only a part could be read, and
    /// returns the changes. Other endpoints stay as they are known, and the last listing
    /// stays the newest one. Ignored if it is older than the last listing or of another
    /// era.
    std::vector<endpoint_event> apply_part(time_point listed_at, store_position position,
                                           std::vector<endpoint_announcement> part);

    /// Notes that the listing of the given position was still the newest one at a time.
    /// Ignored if it is not the last one that was applied.
    void confirm_listing(time_point listed_at, store_position position,
                         time_point available_since);

    /// Notes that the process of an endpoint that started at `started_at_ms` said it is
    /// leaving. Returns the change, or nothing if the endpoint is unknown, has started
    /// anew or is draining already. No listing revokes it for that process.
    std::optional<endpoint_event>
    note_leaving(endpoint_id id, std::uint64_t started_at_ms, time_point now);

    /// Returns the endpoint with this identifier, or null.
    [[nodiscard]] endpoint_announcement const* find(endpoint_id id) const;

    /// All known endpoints.
    [[nodiscard]] std::map<endpoint_id, endpoint_announcement> const&
    endpoints() const noexcept
    {
        return endpoints_;
    }

    /// Position of the last listing.
    [[nodiscard]] store_position position() const noexcept
    {
        return position_;
    }

    /// Whether the last listing is known to need another look although it does not
    /// change: an entry or the lack of one counts only after some time.
    [[nodiscard]] bool is_provisional() const noexcept
    {
        return provisional_;
    }

    /// Number of entries of the last listing that were older than the known ones, and of
    /// known ones that it lacked.
    [[nodiscard]] std::size_t kept() const noexcept
    {
        return kept_;
    }

    /// Since when no outage of service discovery is known; empty before the first
    /// listing.
    [[nodiscard]] std::optional<time_point> available_since() const noexcept
    {
        return available_since_;
    }

    /// Number of outages of service discovery that were assumed so far, restorations
    /// included.
    [[nodiscard]] std::uint64_t outages() const noexcept
    {
        return outages_;
    }

    /// When the last listing was read from service discovery; empty before the first
    /// one.
    [[nodiscard]] std::optional<time_point> listed_at() const noexcept
    {
        return listed_at_;
    }

private:
    // A process that said it is leaving, or that is gone
    struct ended_process
    {
        std::uint64_t started_at_ms = 0;
        time_point noted_at;
        // Era in which it was gone
        std::uint64_t era = 0;
    };

    // An entry whose process started earlier than the known one
    struct earlier_start
    {
        std::uint64_t started_at_ms = 0;
        time_point listed_since;
    };

    // Whether two entries of an endpoint differ in nothing but their position
    static bool is_same_but_position(endpoint_announcement const& known,
                                     endpoint_announcement entry);
    // Whether an entry is from the copy that the store was restored from, as far as is
    // known: it was not written since the first listing of the era
    [[nodiscard]] bool is_of_copy(endpoint_announcement const& entry) const;
    // Whether an entry names a process that was gone before the store was restored
    [[nodiscard]] bool was_gone(endpoint_announcement const& entry) const;
    // Whether the known state of an endpoint is newer than an entry of the copy
    [[nodiscard]] bool outdates(endpoint_announcement const& known,
                                endpoint_announcement const& entry,
                                time_point listed_at) const;
    // Removes the endpoints that are not listed and appends the changes to `events`
    void remove_missing(std::set<endpoint_id> const& listed, time_point listed_at,
                        std::vector<endpoint_event>& events);
    // Replaces what is known of an endpoint and appends the change to `events`
    static void replace(endpoint_announcement& known, endpoint_announcement entry,
                        std::vector<endpoint_event>& events);
    // Whether an entry with an earlier start has been listed for so long that it counts
    bool outlasts_known(endpoint_announcement const& entry, time_point listed_at);
    // Marks an entry as draining if its process said that it is leaving
    void apply_leaving(endpoint_announcement& entry) const;
    // Notes that service discovery was read, and whether it had been unavailable before
    // or was restored from a copy
    void note_reading(time_point listed_at, time_point available_since, bool restored);
    // Applies one entry of a listing and appends the change to `events`
    void apply_entry(endpoint_announcement entry, time_point listed_at,
                     std::vector<endpoint_event>& events);

    options options_;
    std::map<endpoint_id, endpoint_announcement> endpoints_;
    std::map<endpoint_id, ended_process> leaving_;
    std::map<endpoint_id, ended_process> gone_;
    // Entries that are ignored for now
    std::map<endpoint_id, earlier_start> earlier_starts_;
    store_position position_;
    // Position of the first listing of the era
    store_position era_start_;
    bool provisional_ = false;
    std::size_t kept_ = 0;
    std::uint64_t outages_ = 0;
    std::optional<time_point> listed_at_;
    std::optional<time_point> available_since_;
    // Missing entries of listings read before this time are kept, after an outage
    time_point keep_missing_until_{};
};

} // namespace marjorampath
