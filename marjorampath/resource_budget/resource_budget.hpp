#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/limits/token_bucket.hpp>
#include <marjorampath/resource_budget/budget_event.hpp>
#include <marjorampath/resource_budget/resource_limits.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorampath
{

/// Settings of a resource_budget.
struct resource_budget_options
{
    /// What may be held.
    resource_limits limits;
    /// Time without progress after which a client that sends a request counts as stalled.
    duration stall_time = std::chrono::seconds(1);
    /// The same for a client that reads a whole answer.
    duration answer_stall_time = std::chrono::seconds(1);
    /// The same for a client that reads a stream, whose events may be far apart.
    duration stream_stall_time = std::chrono::seconds(5);
    /// Rate below which a client counts as stalled although it makes progress, in bytes
    /// per second.
    double min_rate = 16'384;
    /// The same for a client that reads an answer. The kernel reports progress only when
    /// a third of the send buffer is free again, so that a lower rate shows as a stall.
    double answer_min_rate = 65'536;
    /// Longest wait for a reservation: longer than a sender may stall, so that one that
    /// does yields first.
    duration max_wait = std::chrono::seconds(2);
    /// What refused clients still send is read and discarded, so that they get their
    /// answers: this many bytes per second of all of them together, and at once.
    double discard_rate = 4'000'000;
    double discard_burst = 64'000'000;
};

/// Whether a connection may be opened.
enum class admission : std::uint8_t
{
    /// It has a place.
    admitted,
    /// It has one of a few places for connections whose requests are refused.
    refuse_only,
    /// It has no place.
    rejected
};

/// The answer to a request for a reservation.
enum class reservation : std::uint8_t
{
    /// The bytes are reserved.
    made,
    /// A `budget_event` follows.
    waiting,
    /// One connection may never hold so much.
    too_large
};

/// Adds up what a host holds for others, and decides who may hold more.
///
/// Each open connection has a place of its class, and each message beyond the allowance
/// of its connection a reservation. Where none is left, connections that only wait for
/// their clients yield: for a place the one that has been idle for longest, then one
/// whose client is stalled; for bytes one whose client is stalled. A request whose
/// endpoint is at work never yields. Requests wait for bytes in the order in which they
/// began; once one has waited for too long, the youngest of those that waited so long are
/// refused, so that the oldest can be completed.
class resource_budget
{
public:
    /// What `open` decided.
    struct opening
    {
        admission decision = admission::rejected;
        /// Number of the new connection, unless it was rejected.
        connection_number connection = 0;
        /// Another connection that must be closed at once for it.
        std::optional<budget_notice> evicted;
    };

    /// Constructs a budget of which nothing is used.
    explicit resource_budget(resource_budget_options const& options);

    /// Asks for a place for a new connection. A new connection is idle.
    opening open(connection_class of, time_point now);

    /// Gives back the place of a connection and all that it has reserved.
    void close(connection_number connection);

    /// The connection waits for its client to send a request, or a part of its head; what
    /// it has reserved is given back.
    void on_idle(connection_number connection, time_point now);

    /// The head of a request was read and its client sends the body.
    void on_receiving(connection_number connection, time_point now);

    /// The whole request, which began at this time, was read; it waits or runs, and its
    /// client need not do anything.
    void on_working(connection_number connection, time_point begun);

    /// The client reads a whole answer, or a stream.
    void on_sending(connection_number connection, bool is_stream, time_point now);

    /// The client sent or read some bytes.
    void on_progress(connection_number connection, std::size_t bytes, time_point now);

    /// Reserves bytes for a message, besides those reserved before.
    reservation reserve(connection_number connection, std::size_t bytes, time_point now);

    /// Ends the wait for a reservation.
    void stop_waiting(connection_number connection);

    /// Whether so many bytes of refused clients may be read and discarded.
    bool take_discard(std::size_t bytes, time_point now);

    /// Decides on the reservations that wait; to be called after each change while there
    /// are any, and regularly.
    std::vector<budget_notice> settle(time_point now);

    /// Whether any reservation waits.
    [[nodiscard]] bool has_waiting() const noexcept
    {
        return !waiting_.empty();
    }

    /// Bytes that are reserved.
    [[nodiscard]] std::size_t reserved_bytes() const noexcept
    {
        return reserved_;
    }

    /// Open connections of a class.
    [[nodiscard]] std::size_t connections(connection_class of) const
    {
        return open_.at(static_cast<std::size_t>(of));
    }

    /// What may be held.
    [[nodiscard]] resource_limits const& limits() const noexcept
    {
        return options_.limits;
    }

private:
    // What a connection waits for
    enum class phase : std::uint8_t
    {
        // Its client, for a request
        idle,
        // Its client, for the rest of a request
        receiving,
        // This host or an endpoint
        working,
        // Its client, which reads an answer
        sending
    };

    // An open connection
    struct holder
    {
        connection_class of = connection_class::callers;
        phase state = phase::idle;
        // Whether its requests are refused
        bool refuse_only = false;
        // Whether it was told to end its request
        bool ending = false;
        // Whether its place was given to another one
        bool replaced = false;
        // When it became idle
        time_point idle_since;
        // When its present request began
        time_point begun;
        // When its client counts as stalled
        time_point due;
        // How long its client may make no progress in this state
        duration stall_time{0};
        // Reserved bytes
        std::size_t reserved = 0;
        // Bytes that it waits for, and since when
        std::size_t wanted = 0;
        time_point waiting_since;
    };

    using holders = std::unordered_map<connection_number, holder>;
    // Order in which reservations are made
    using queue_key = std::pair<time_point, connection_number>;

    holder* find(connection_number connection);
    // Whether a class has room for bytes beside those that are reserved, and beside those
    // that connections which were told to end will give back
    [[nodiscard]] bool fits(connection_class of, std::size_t bytes,
                            std::size_t returning) const;
    // The idle connection of a class that has been idle for longest
    holders::iterator find_idle(connection_class of, bool refuse_only);
    // The connection whose client has been stalled for longest, of a class or of all; one
    // that has bytes reserved if `with_bytes`
    holders::iterator find_stalled(std::optional<connection_class> of, bool with_bytes,
                                   time_point now);
    // The youngest request of a class, or of all, that has waited for too long; one that
    // has not run if there is any
    [[nodiscard]] std::optional<queue_key>
    find_expired(std::optional<connection_class> of, time_point now) const;
    // Takes a connection out of the places of its class
    void leave_place(holder const& of);
    // Adds to what is reserved for a connection
    void add_reserved(holder& to, std::size_t bytes);
    // Tells connections to end until the first reservation that waits can be made
    void make_room(queue_key const& first, std::vector<budget_notice>& notices,
                   time_point now);
    static void start_progress(holder& of, phase state, duration stall_time,
                               time_point now);
    // Gives back all that is reserved for a connection
    void release(holder& of);
    // Bytes that one class may reserve
    [[nodiscard]] std::size_t most_bytes(connection_class of) const noexcept;

    resource_budget_options options_;
    // Bytes that may be discarded
    token_bucket discards_;
    connection_number last_number_ = 0;
    holders holders_;
    // Requests that wait for bytes
    std::set<queue_key> waiting_;
    // Reserved bytes, in all and by class
    std::size_t reserved_ = 0;
    std::array<std::size_t, connection_classes> reserved_by_class_{};
    // Open connections by class, and how many of them are only refused
    std::array<std::size_t, connection_classes> open_{};
    std::array<std::size_t, connection_classes> refuse_only_{};
};

} // namespace marjorampath
