#pragma once

#include <marjorampath/core/store_position.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/freshness/freshness_messages.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace marjorampath
{

/// A read of the operator's data that succeeded.
struct operator_read
{
    /// When the question was sent. The store may have answered it at once, so that the
    /// time of the answer proves nothing.
    time_point asked_at;
    /// Position of the store up to which this host has all of the operator's changes.
    store_position complete;
    /// Version of the configuration that the store has; unset if it is not the one in
    /// force, for example because it cannot be parsed.
    std::optional<std::uint64_t> stored_version;
};

/// Knows the latest moment at which this host's configuration was certainly the
/// operator's newest one.
///
/// A host that is cut off cannot learn that a key was revoked. It stops to accept keys
/// before the revocation must be in force, counted from that moment. All times are of
/// this host's clock, which includes suspensions.
class configuration_freshness
{
public:
    /// Settings.
    struct options
    {
        /// Time behind the operator's change within which a revoked key must be refused
        /// by every host; unset if hosts that are cut off may go on with what they know.
        std::optional<duration> revocation_bound;
        /// Taken off the bound: the longest time between the check and the send that
        /// follows it, as when a process wakes up from a suspension.
        duration margin = std::chrono::milliseconds(300);
        /// Age of the proof from which other hosts are asked for a newer one.
        duration query_age = std::chrono::milliseconds(1'200);
        /// Time between two queries.
        duration query_interval = std::chrono::milliseconds(250);
        /// Part of the bound behind which this host asks the store itself.
        double store_fraction = 0.55;
        /// Time between two such reads.
        duration store_interval = std::chrono::seconds(1);
        /// Time from a store's return from an older copy until the operator has written
        /// again what the copy lacks. Until then the store's configuration proves
        /// nothing, also to a process that has just started and finds a store that was
        /// restored at any time.
        duration restore_time = std::chrono::seconds(5);
    };

    /// Constructs the state of a host without a configuration.
    explicit configuration_freshness(options values) : options_(values) {}

    /// Notes the version of the configuration in force.
    void on_configuration(std::uint64_t version) noexcept
    {
        version_ = version;
    }

    /// Notes that the store was at a position, or behind it, when a read of its other
    /// data was sent at `asked_at`. Changes up to that moment have no later position.
    void on_store_position(store_position position, time_point asked_at);

    /// Notes a read of the operator's data from the store.
    void on_operator_read(operator_read const& read, time_point now);

    /// The query to send to another host now; empty if none is due.
    std::optional<freshness_query> next_query(time_point now);

    /// Answers another host's query.
    [[nodiscard]] freshness_reply reply_to(freshness_query const& query,
                                           time_point now) const;

    /// Notes another host's reply to a query of this one.
    void on_reply(freshness_reply const& reply);

    /// Time since the configuration was certainly current; empty if it never was.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

    /// Whether a key that the configuration has cannot have been revoked for longer than
    /// the bound.
    [[nodiscard]] bool is_confirmed(time_point now) const;

    /// Whether this host should ask the store itself, as other hosts did not help.
    [[nodiscard]] bool needs_store(time_point now) const;

    /// Notes that it did.
    void on_store_asked(time_point now) noexcept
    {
        next_store_at_ = now + options_.store_interval;
    }

    /// Number of queries that were sent.
    [[nodiscard]] std::uint64_t queries() const noexcept
    {
        return last_query_;
    }

private:
    // A position that the store had reached at a time
    struct marker
    {
        store_position position;
        time_point asked_at;
    };

    // Most markers and open queries that are kept
    static constexpr std::size_t max_markers = 16;
    static constexpr std::size_t max_queries = 16;

    // Whether the store's configuration may lack changes that it lost when it was
    // restored
    [[nodiscard]] bool may_lack_changes(operator_read const& read, time_point now);
    // Raises the moment at which the configuration was certainly current
    void prove(time_point at);

    options options_;
    std::uint64_t version_ = 0;
    // The latest moment at which the configuration was certainly current
    std::optional<time_point> proven_at_;
    std::deque<marker> markers_;
    // When each open query was sent
    std::map<std::uint64_t, time_point> queries_;
    std::uint64_t last_query_ = 0;
    time_point next_query_at_;
    // When the store may be asked again
    time_point next_store_at_;
    // Era of the store by the last read, the version that the store had in the first read
    // of that era, and when the operator has surely written again what is lost
    std::uint64_t era_ = 0;
    std::uint64_t restored_version_ = 0;
    std::optional<time_point> restored_until_;
};

} // namespace marjorampath
