#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/lease/leased_resource.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace marjorampath
{

/// The largest number of witnesses of a region.
inline constexpr std::size_t max_witnesses = 64;

/// One host's claim to one resource: which witnesses granted it until when.
class lease_claim
{
public:
    /// Makes a claim without grants.
    explicit lease_claim(leased_resource resource);

    /// The resource.
    [[nodiscard]] leased_resource const& resource() const noexcept
    {
        return resource_;
    }

    /// Counts a grant. `fencing_number` is that of the request, `highest` that of the
    /// reply.
    void add_grant(host_id witness, time_point until, std::uint64_t fencing_number,
                   std::uint64_t highest);

    /// Notes a fencing number that the next one has to exceed.
    void exceed(std::uint64_t fencing_number) noexcept;

    /// Chooses a new fencing number, which a quorum has to confirm before it is used.
    void choose_number(std::uint64_t floor) noexcept;

    /// Forgets all grants and the number.
    void clear() noexcept;

    /// End of what a quorum granted, whatever the fencing number.
    [[nodiscard]] time_point granted_until(std::span<host_id const> witnesses,
                                           std::uint32_t quorum) const;

    /// End of what a quorum granted knowing the chosen fencing number.
    [[nodiscard]] time_point confirmed_until(std::span<host_id const> witnesses,
                                             std::uint32_t quorum) const;

    /// The chosen fencing number, zero for none.
    [[nodiscard]] std::uint64_t fencing_number() const noexcept
    {
        return fencing_number_;
    }

    /// Whether a number is chosen and no higher one is known.
    [[nodiscard]] bool number_is_highest() const noexcept
    {
        return fencing_number_ != 0 && fencing_number_ == highest_number_;
    }

    /// The highest number known of when the present one was chosen.
    [[nodiscard]] std::uint64_t previous_number() const noexcept
    {
        return previous_number_;
    }

    /// Whether any witness's grant is remembered.
    [[nodiscard]] bool has_grants() const noexcept
    {
        return !grants_.empty();
    }

    /// Whether the lease is held with a confirmed fencing number.
    bool held = false;
    /// Whether the host was told that it holds the lease, and not yet that it lost it.
    bool announced = false;
    /// Whether this host held it last as far as it knows.
    bool held_last = false;
    /// Time of the next request.
    time_point next_request;
    /// Holder by hearsay; empty where not known.
    host_id hinted_holder;
    /// Fencing number of the holder by hearsay.
    std::uint64_t hinted_number = 0;
    /// Host that should hold the resource, by the hosts as known now; empty for none.
    host_id preferred;
    /// Time since which another host is preferred, while this one holds the lease.
    std::optional<time_point> foreign_since;
    /// Time until which another host was offered the lease and this one does not ask.
    time_point yield_until;

private:
    struct grant
    {
        // End of the grant
        time_point until;
        // End of the grant whose request carried the present fencing number
        time_point confirmed_until;
    };

    // The smallest of the `quorum` latest ends, or the zero time where there are fewer
    template <class End>
    [[nodiscard]] time_point quorum_end(std::span<host_id const> witnesses,
                                        std::uint32_t quorum, End end) const;

    // The resource
    leased_resource resource_;
    // Grants by witness
    std::map<host_id, grant> grants_;
    // Chosen fencing number, zero for none
    std::uint64_t fencing_number_ = 0;
    // Highest number heard of
    std::uint64_t highest_number_ = 0;
    // Highest number heard of when the present one was chosen
    std::uint64_t previous_number_ = 0;
};

} // namespace marjorampath
