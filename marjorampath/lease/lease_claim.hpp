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

/// Largest number of witnesses of a region.
inline constexpr std::size_t max_witnesses = 64;

/// One host's claim to one resource: the witnesses that granted the lease, and until
/// when.
class lease_claim
{
public:
    /// Creates a claim without grants.
    explicit lease_claim(leased_resource resource);

    /// The claimed resource.
    [[nodiscard]] leased_resource const& resource() const noexcept
    {
        return resource_;
    }

    /// Adds a witness's grant. `fencing_number` is the number sent in the request,
    /// `highest` the highest number known to the witness, from its reply.
    void add_grant(host_id witness, time_point until, std::uint64_t fencing_number,
                   std::uint64_t highest);

    /// Records a fencing number received in a message. The next chosen number is higher.
    void observe_fencing_number(std::uint64_t fencing_number) noexcept;

    /// Chooses a new fencing number, at least `floor`. It may be used only after a quorum
    /// has confirmed it.
    void choose_fencing_number(std::uint64_t floor) noexcept;

    /// Drops all grants and the chosen fencing number.
    void clear() noexcept;

    /// Time until which a quorum granted the lease, whatever the fencing number.
    [[nodiscard]] time_point granted_until(std::span<host_id const> witnesses,
                                           std::uint32_t quorum) const;

    /// Time until which a quorum granted the lease with the chosen fencing number.
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

    /// Highest fencing number known when the present one was chosen, except those that
    /// this host chose since the last `clear()`; zero for none.
    [[nodiscard]] std::uint64_t previous_number() const noexcept
    {
        return previous_number_;
    }

    /// Whether any witness's grant is recorded, valid or expired.
    [[nodiscard]] bool has_grants() const noexcept
    {
        return !grants_.empty();
    }

    /// Whether the lease is held with a confirmed fencing number.
    bool held = false;
    /// Whether `lease_acquired` was reported and `lease_lost` not yet.
    bool announced = false;
    /// Whether this host was the last holder as far as it knows.
    bool was_last_holder = false;
    /// Time of the next request.
    time_point next_request;
    /// Holder as last reported by another host; empty if not known.
    host_id hinted_holder;
    /// Highest fencing number reported in a hint.
    std::uint64_t hinted_number = 0;
    /// Preferred holder among the hosts known now; empty for none.
    host_id preferred;
    /// Time since which another host is preferred, while this one holds the lease.
    std::optional<time_point> other_preferred_since;
    /// Time until which this host sends no requests, so that another host can get the
    /// lease.
    time_point yield_until;

private:
    struct grant
    {
        // End of the grant on this host's clock
        time_point until;
        // End of the latest grant that confirmed the present fencing number
        time_point confirmed_until;
    };

    // The earliest of the `quorum` latest ends, or the zero time if there are fewer ends
    template <class End>
    [[nodiscard]] time_point quorum_end(std::span<host_id const> witnesses,
                                        std::uint32_t quorum, End end) const;

    // The claimed resource
    leased_resource resource_;
    // Grants by witness
    std::map<host_id, grant> grants_;
    // Chosen fencing number, zero for none
    std::uint64_t fencing_number_ = 0;
    // Highest known number
    std::uint64_t highest_number_ = 0;
    // See `previous_number()`
    std::uint64_t previous_number_ = 0;
};

} // namespace marjorampath
