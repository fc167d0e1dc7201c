#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <serving/resources/host_resources.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace marjorampath::serving
{

/// The place of one connection in a host's resource budget, and what its messages have
/// reserved there. Gives both back when it is destroyed. Without a budget everything is
/// allowed.
class resource_place
{
public:
    /// Told why the connection, or its present request, must end.
    using eviction_handler = std::function<void(budget_event)>;

    /// Creates a place that is not open.
    resource_place() = default;
    ~resource_place();
    resource_place(resource_place const&) = delete;
    resource_place& operator=(resource_place const&) = delete;

    /// Asks for a place. `resources` may be null.
    admission open(std::shared_ptr<host_resources> resources, connection_class of,
                   eviction_handler on_evicted);

    /// Gives the place back.
    void close();

    /// The connection waits for its client's next request; what the last one reserved is
    /// given back.
    void on_idle(time_point now);

    /// The client sends the body of a request.
    void on_receiving(time_point now);

    /// The request, which began at this time, waits or runs.
    void on_working(time_point begun);

    /// The client reads a whole answer, or a stream.
    void on_sending(bool is_stream, time_point now);

    /// The client sent or read some bytes.
    void on_progress(std::size_t bytes, time_point now);

    /// Whether so many bytes that a refused client sent may be read and discarded.
    bool take_discard(std::size_t bytes, time_point now);

    /// Whether messages of so many bytes in all are held already, or may be held without
    /// a reservation.
    [[nodiscard]] bool holds(std::size_t bytes) const noexcept
    {
        return !resources_ || bytes <= message_allowance_bytes + reserved_;
    }

    /// Reserves what messages of so many bytes in all need; waits for it if others hold
    /// it. `none` if it was reserved; `body_too_large` if this host can never hold so
    /// much, and `host_full` if it was not given back in time, or the wait was cancelled.
    boost::asio::awaitable<error_kind> hold(std::size_t bytes);

    /// Ends a wait of `hold`.
    void cancel_hold();

private:
    // Handles an event of the budget
    void on_event(budget_event event);

    // Null before `open` and without a budget
    std::shared_ptr<host_resources> resources_;
    connection_number number_ = 0;
    eviction_handler on_evicted_;
    // Bytes reserved for the messages of the present request
    std::size_t reserved_ = 0;
    // Ends a wait for a reservation; unset while there is none
    std::optional<boost::asio::steady_timer> wait_;
    // Whether the reservation that was waited for was made
    bool granted_ = false;
};

} // namespace marjorampath::serving
