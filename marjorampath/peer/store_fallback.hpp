#pragma once

#include <marjorampath/core/time.hpp>

#include <chrono>
#include <optional>

namespace marjorampath
{

/// Decides when a host that gets the contents of the configuration store from other hosts
/// reads the store itself: when the others do not give it what they have in time, or have
/// nothing recent either.
class store_fallback
{
public:
    /// Settings.
    struct options
    {
        /// Age of this host's endpoint listing beyond which it reads the store.
        duration max_listing_age = std::chrono::milliseconds(2'000);
        /// Time for which others may have newer data of the operator than this host.
        duration max_operator_lag = std::chrono::milliseconds(800);
        /// Pause after a read that failed; doubled with each further one.
        duration first_pause = std::chrono::milliseconds(300);
        /// Longest pause.
        duration max_pause = std::chrono::milliseconds(1'200);
    };

    /// Constructs the state of a host that has all that others have.
    explicit store_fallback(options values) : options_(values) {}

    /// Time until the listing of the given age should be read from the store; zero if it
    /// should be read now.
    [[nodiscard]] duration time_to_listing(duration listing_age, time_point now) const;

    /// Notes whether another host has newer data of the operator than this one.
    void note_operator_lag(bool lags, time_point now);

    /// Whether the operator's data should be read from the store: others have had newer
    /// data for a while, or had no recent listing, so that they may know of no newer data
    /// either.
    [[nodiscard]] bool wants_operator(time_point now) const;

    /// Notes the end of a read of the listing from the store, and the age of the listing
    /// before it.
    void on_listing_read(bool succeeded, duration listing_age, time_point now);

    /// Notes the end of a read of the operator's data from the store.
    void on_operator_read(bool succeeded, time_point now);

private:
    // When one kind of contents may be read again
    struct schedule
    {
        time_point next_at;
        // Pause after the last read, if it failed
        duration pause{0};
    };

    // Sets the pause behind a read
    void on_read(schedule& reads, bool succeeded, time_point now) const;

    options options_;
    schedule listing_;
    schedule operator_;
    // Whether others had no recent listing at the last read of it
    bool others_are_old_ = false;
    // Since when others have newer data of the operator
    std::optional<time_point> lags_since_;
};

} // namespace marjorampath
