#pragma once

#include <marjorampath/deployment/route_table.hpp>
#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/dispatch/retry_budget.hpp>
#include <marjorampath/suspect/suspect_registry.hpp>
#include <serving/caller/caller_context.hpp>
#include <serving/endpoint/connection_pool.hpp>
#include <serving/entry/entry_metrics.hpp>
#include <serving/entry/lost_attempts.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace marjorampath::serving
{

/// Times of the exchanges with endpoints.
struct entry_times
{
    /// Time within which a connection to an endpoint must stand: several times the way to
    /// another zone and back, and a lost packet.
    duration connect_timeout = std::chrono::milliseconds(450);
    /// Part of its objective after which an idempotent request without an answer goes to
    /// another endpoint too.
    double attempt_timeout_fraction = 0.8;
    /// Least time before that.
    duration min_attempt_timeout = std::chrono::milliseconds(150);
    /// Pause that a caller is told whose request could not be sent once more.
    duration retry_pause = std::chrono::milliseconds(800);
    /// Idle time up to which a connection carries a request that is not idempotent.
    duration max_idle_non_idempotent = std::chrono::milliseconds(1'500);
    /// Time that a lease holder's word on an engine is waited for: a few times the way to
    /// another zone and back.
    duration confirm_timeout = std::chrono::milliseconds(10);
};

/// Timers of exchanges that wait for news of a key.
template <class Key>
using waiting_timers = std::multimap<Key, boost::asio::steady_timer*>;

/// What the exchanges of an entry host share.
struct entry_context
{
    /// What the callers' connections share.
    caller_context callers;
    /// Times.
    entry_times times;
    /// Routes in force, or null.
    std::shared_ptr<route_table const> routes;
    /// Decides about requests.
    dispatcher dispatch;
    /// Kept connections to endpoints.
    connection_pool connections;
    /// Bounds of repeated sends, by service.
    std::map<service_id, retry_budget> budgets;
    /// Requests that crash endpoints.
    suspect_registry suspects;
    /// Attempts that may have crashed their endpoint.
    lost_attempts lost;
    /// What is counted.
    entry_metrics metrics;
    /// Asks an engine's lease holder for a load.
    std::function<void(proposed_load const&)> request_load;
    /// Tells an engine's lease holder what this host has in flight there, and may ask for
    /// the engine's status; whether one is to come.
    std::function<bool(endpoint_id, bool)> report_usage;
    /// Hosts that share the bounds.
    std::function<std::size_t()> hosts;
    /// Timers of the exchanges that wait for an adapter, by its name.
    waiting_timers<std::string> awaiting;
    /// Timers of the exchanges that wait for an engine's status.
    waiting_timers<endpoint_id> confirming;

    /// Wakes the exchanges that wait for an engine's status.
    void wake(endpoint_id engine)
    {
        cancel(confirming, engine);
    }

    /// Wakes the exchanges that wait for an adapter.
    void wake(std::string const& adapter)
    {
        cancel(awaiting, adapter);
    }

private:
    // Cancels the timers of a key
    template <class Key>
    static void cancel(waiting_timers<Key> const& timers, Key const& key)
    {
        auto const [begin, end] = timers.equal_range(key);
        for (auto each = begin; each != end; ++each)
            each->second->cancel();
    }
};

} // namespace marjorampath::serving
