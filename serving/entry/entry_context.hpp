#pragma once

#include <marjorampath/deployment/route_table.hpp>
#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/dispatch/retry_budget.hpp>
#include <marjorampath/limits/rate_limit_registry.hpp>
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

/// Timings of the exchanges with endpoints.
struct entry_times
{
    /// Time within which a connection to an endpoint must be established: several round
    /// trips to another zone and one lost packet.
    duration connect_timeout = std::chrono::milliseconds(450);
    /// Fraction of the latency objective after which an attempt of a safe request without
    /// an answer is abandoned for another endpoint.
    double attempt_timeout_fraction = 0.8;
    /// Least time before such an attempt is abandoned.
    duration min_attempt_timeout = std::chrono::milliseconds(150);
    /// Retry-After value in the answer to a request that may not be sent again or whose
    /// adapter was not loaded in time.
    duration retry_pause = std::chrono::milliseconds(800);
    /// Longest idle time of a connection that is reused for a request that is not
    /// idempotent.
    duration max_idle_non_idempotent = std::chrono::milliseconds(1'500);
    /// Time to wait for an engine's status from its lease holder: a few round trips to
    /// another zone.
    duration status_timeout = std::chrono::milliseconds(10);
};

/// Timers of the exchanges that wait for an update of a key.
template <class Key>
using waiting_timers = std::multimap<Key, boost::asio::steady_timer*>;

/// State that the exchanges of an entry host share.
struct entry_context
{
    /// State that the callers' connections share.
    caller_context callers;
    /// Timings.
    entry_times times;
    /// Routes in force; null before the first configuration.
    std::shared_ptr<route_table const> routes;
    /// Chooses endpoints for requests.
    dispatcher dispatch;
    /// Idle connections to endpoints.
    connection_pool connections;
    /// Retry budgets by service.
    std::map<service_id, retry_budget> budgets;
    /// Requests that are suspected or convicted of crashing endpoints.
    suspect_registry suspects;
    /// Request rates that endpoints have limited.
    rate_limit_registry rate_limits;
    /// Attempts whose connection broke and that may have crashed their endpoint.
    lost_attempts lost;
    /// Counters and latencies.
    entry_metrics metrics;
    /// Sends a load request to an engine's lease holder.
    std::function<void(proposed_load const&)> request_load;
    /// Reports this host's requests in flight at an engine to its lease holder; the flag
    /// also requests the engine's status. True if the report was sent, so that a
    /// requested status can be awaited.
    std::function<bool(endpoint_id, bool)> report_usage;
    /// Number of hosts that share the retry budgets.
    std::function<std::size_t()> host_count;
    /// Timers of the exchanges that wait for an adapter to be loaded, by `MODEL/ADAPTER`.
    waiting_timers<std::string> adapter_waiters;
    /// Timers of the exchanges that wait for an engine's status.
    waiting_timers<endpoint_id> status_waiters;

    /// Wakes the exchanges that wait for an engine's status.
    void wake(endpoint_id engine)
    {
        cancel(status_waiters, engine);
    }

    /// Wakes the exchanges that wait for an adapter.
    void wake(std::string const& adapter)
    {
        cancel(adapter_waiters, adapter);
    }

private:
    // Cancels all timers of a key, which ends their waits
    template <class Key>
    static void cancel(waiting_timers<Key> const& timers, Key const& key)
    {
        auto const [begin, end] = timers.equal_range(key);
        for (auto each = begin; each != end; ++each)
            each->second->cancel();
    }
};

} // namespace marjorampath::serving
