#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>

#include <map>
#include <optional>
#include <vector>

namespace marjorampath
{

/// What happened to an endpoint by a new listing.
enum class endpoint_change : std::uint8_t
{
    /// It is new.
    appeared,
    /// It started again, or moved to another address.
    restarted,
    /// It began to leave.
    draining,
    /// It is gone.
    gone,
    /// Other parts of its announcement changed.
    updated
};

/// One change of the catalog.
struct endpoint_event
{
    /// What happened.
    endpoint_change change = endpoint_change::updated;
    /// The announcement; the last known one of an endpoint that is gone.
    endpoint_announcement endpoint;
};

/// The endpoints that exist, by listings of service discovery.
///
/// Listings may come from several sources out of order; an entry never goes back to an
/// older revision, and a process that was seen leaving stays so until it starts again.
class endpoint_catalog
{
public:
    /// How to construct a catalog.
    struct options
    {
        /// Time after an outage of service discovery for which missing entries are kept:
        /// living endpoints announce themselves again within about two seconds.
        duration reregistration_grace = std::chrono::milliseconds(2'300);
        /// Time between two listings from which on service discovery counts as having
        /// been away: two missed listings at the usual interval.
        duration outage = std::chrono::milliseconds(2'000);
    };

    /// Makes an empty catalog.
    explicit endpoint_catalog(options values) : options_(values) {}

    /// Takes a full listing that is as new as revision `revision`. Older ones than the
    /// last are ignored.
    std::vector<endpoint_event> apply_listing(time_point now, std::uint64_t revision,
                                              std::vector<endpoint_announcement> listing);

    /// The endpoint of an identifier, or null.
    [[nodiscard]] endpoint_announcement const* find(endpoint_id id) const;

    /// All endpoints.
    [[nodiscard]] std::map<endpoint_id, endpoint_announcement> const&
    endpoints() const noexcept
    {
        return endpoints_;
    }

    /// Revision of the last listing.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    /// Time of the last listing, nothing before the first.
    [[nodiscard]] std::optional<time_point> listed_at() const noexcept
    {
        return listed_at_;
    }

private:
    // Takes one entry of a listing
    void apply_entry(endpoint_announcement entry, std::vector<endpoint_event>& events);

    // Settings
    options options_;
    // Endpoints by identifier
    std::map<endpoint_id, endpoint_announcement> endpoints_;
    // Revision of the last listing
    std::uint64_t revision_ = 0;
    // Time of the last listing
    std::optional<time_point> listed_at_;
    // Time until which missing entries are kept
    time_point keep_missing_until_{};
};

} // namespace marjorampath
