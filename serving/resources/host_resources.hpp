#pragma once

#include <marjorampath/resource_budget/resource_budget.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace marjorampath::serving
{

/// The resource budget of the connections on one event loop. Used on its thread only.
class host_resources
{
public:
    /// Tells a connection of an event. Must not open or close connections itself.
    using listener = std::function<void(budget_event)>;

    /// Connections and messages that did not get what they asked for.
    struct counters
    {
        /// Connections that were closed while they waited for a request.
        std::uint64_t evicted_idle = 0;
        /// Requests that were ended because their client stalled.
        std::uint64_t evicted_stalled = 0;
        /// Connections whose requests were refused for lack of a place.
        std::uint64_t refused_connections = 0;
        /// Requests that were refused, or answers given up, for lack of memory.
        std::uint64_t refused_messages = 0;
    };

    /// Creates the budget of a host that has no connection yet.
    host_resources(boost::asio::io_context& loop, resource_budget_options const& options);

    host_resources(host_resources const&) = delete;
    host_resources& operator=(host_resources const&) = delete;

    /// Asks for a place for a new connection; another one may be evicted for it.
    resource_budget::opening open(connection_class of, listener on_event);

    /// Gives back a place.
    void close(connection_number connection);

    /// Asks for bytes for a message; the listener gets an event if they must be waited
    /// for.
    reservation reserve(connection_number connection, std::size_t bytes);

    /// Decides soon on the reservations that wait, if there are any; to be called when
    /// bytes were given back.
    void settle_soon();

    /// Gives freed memory back to the system once most of a large amount that was
    /// reserved is not any more; to be called regularly.
    void return_freed_memory();

    /// The budget, for what needs no event.
    [[nodiscard]] resource_budget& budget() noexcept
    {
        return budget_;
    }

    /// What has been refused and evicted so far.
    [[nodiscard]] counters const& counted() const noexcept
    {
        return counters_;
    }

private:
    // Decides on the reservations that wait
    void settle();
    // Passes an event on to the connection that it concerns
    void notify(budget_notice const& notice);

    resource_budget budget_;
    // Fires while reservations wait
    boost::asio::steady_timer timer_;
    std::unordered_map<connection_number, listener> listeners_;
    counters counters_;
    // Most bytes that were reserved since memory was given back
    std::size_t peak_bytes_ = 0;
};

} // namespace marjorampath::serving
