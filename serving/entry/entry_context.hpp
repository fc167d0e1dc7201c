#pragma once

#include <marjorampath/deployment/route_table.hpp>
#include <marjorampath/dispatch/dispatcher.hpp>
#include <marjorampath/dispatch/retry_budget.hpp>
#include <marjorampath/dispatch/run_times.hpp>
#include <marjorampath/freshness/configuration_freshness.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>
#include <marjorampath/quota/quota_registry.hpp>
#include <marjorampath/rate_limit/rate_limit_coordinator.hpp>
#include <marjorampath/reachability/reach_monitor.hpp>
#include <marjorampath/stream_origin/origin_finding.hpp>
#include <marjorampath/stream_origin/stream_origin.hpp>
#include <marjorampath/stream_origin/stream_origin_messages.hpp>
#include <marjorampath/stream_origin/stream_origin_table.hpp>
#include <marjorampath/stream_origin/stream_question.hpp>
#include <marjorampath/suspect/part_suspect_registry.hpp>
#include <marjorampath/suspect/suspect_registry.hpp>
#include <serving/caller/caller_context.hpp>
#include <serving/caller/exchange_control.hpp>
#include <serving/endpoint/connection_pool.hpp>
#include <serving/entry/entry_metrics.hpp>
#include <serving/entry/lost_attempts.hpp>
#include <serving/entry/pending_replies.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace marjorampath::serving
{

/// Timings of the exchanges with endpoints.
struct entry_times
{
    /// Time within which a connection to an endpoint must be established: several round
    /// trips to another zone and one lost packet.
    duration connect_timeout = std::chrono::milliseconds(450);
    /// The same for a connection to another host, which is known to be alive.
    duration peer_connect_timeout = std::chrono::milliseconds(150);
    /// Fraction of the latency objective after which an attempt of a safe request without
    /// an answer is abandoned for another endpoint.
    double attempt_timeout_fraction = 0.8;
    /// Least time before such an attempt is abandoned.
    duration min_attempt_timeout = std::chrono::milliseconds(150);
    /// Time behind its first event for which an answer shows that its request does not
    /// crash its endpoint; endpoints that crash do so within a few batch steps.
    duration sound_answer_time = std::chrono::seconds(1);
    /// Time to read the rest of an answer that is not forwarded.
    duration skip_timeout = std::chrono::milliseconds(50);
    /// Retry-After value in the answer to a request that may not be sent again or whose
    /// adapter was not loaded in time.
    duration retry_pause = std::chrono::milliseconds(800);
    /// Bounds of the Retry-After value in the answer to a request beyond its quota.
    duration min_quota_pause = std::chrono::milliseconds(300);
    duration max_quota_pause = std::chrono::seconds(4);
    /// Retry-After value in the answer to a request that this host does not take because
    /// it is shutting down: another host can take it at once.
    duration shutdown_retry_pause = std::chrono::milliseconds(50);
    /// Longest idle time of a connection that is reused for a request that is not
    /// idempotent.
    duration max_idle_non_idempotent = std::chrono::milliseconds(1'500);
    /// Time to wait for an engine's status from its lease holder: a few round trips to
    /// another zone.
    duration status_timeout = std::chrono::milliseconds(10);
    /// Time to wait for a permit from another host: a few round trips to another zone,
    /// and the load of the other host.
    duration permit_timeout = std::chrono::milliseconds(25);
    /// Pause before a permit is requested again after a request without a reply.
    duration permit_retry_pause = std::chrono::milliseconds(100);
    /// Time to wait for the origin of a stream from other hosts.
    duration origin_timeout = std::chrono::milliseconds(25);
    /// Time to wait for a listing of the endpoints.
    duration listing_timeout = std::chrono::milliseconds(1'000);
    /// Time to wait for what the store's history, or engines that keep prompts, say of a
    /// stream's origin: the end of a round of questions and another whole one.
    duration evidence_timeout = std::chrono::milliseconds(1'500);
    /// Longest time over which a stream may be continued.
    duration max_stream_age = stream_origin_options{}.max_stream_age;
};

/// State that the exchanges of an entry host share.
struct entry_context
{
    /// State that the callers' connections share.
    caller_context callers;
    /// Timings.
    entry_times times;
    /// Routes in force; null before the first configuration.
    std::shared_ptr<route_table const> routes;
    /// When the configuration was certainly the operator's newest one.
    configuration_freshness freshness;
    /// Chooses endpoints for requests.
    dispatcher dispatch;
    /// Idle connections to endpoints.
    connection_pool connections;
    /// Retry budgets by service.
    std::map<service_id, retry_budget> budgets;
    /// This host's shares of the organisations' quotas.
    quota_registry quotas;
    /// Requests that are suspected or convicted of crashing endpoints.
    suspect_registry suspects;
    /// Parts of prompts that are suspected or convicted of crashing endpoints.
    part_suspect_registry parts;
    /// Request rates that endpoints have limited.
    rate_limit_coordinator rate_limits;
    /// Services whose endpoints this host can reach.
    reach_monitor reach;
    /// Attempts whose connection broke and that may have crashed their endpoint.
    lost_attempts lost;
    /// Counters and latencies.
    entry_metrics metrics;
    /// How long requests take.
    run_times measured_times;
    /// When the host ends the requests that still run; set when it shuts down.
    std::optional<time_point> ends_requests_at;
    /// Requests that are being served.
    std::set<std::shared_ptr<exchange_control>> open_exchanges;
    /// Sends a load request to an engine's lease holder.
    std::function<void(proposed_load const&)> request_load;
    /// Reports this host's requests in flight at an engine to its lease holder; the flag
    /// also requests the engine's status. True if the report was sent, so that a
    /// requested status can be awaited.
    std::function<bool(endpoint_id, bool)> report_usage;
    /// Finds out whether an endpoint whose answer broke off has crashed.
    std::function<void(endpoint_announcement const&)> check_endpoint;
    /// Takes an endpoint out of use whose answer said that it is leaving.
    std::function<void(endpoint_announcement const&)> note_leaving;
    /// Chooses a host that reaches a service, for a request that this host cannot send to
    /// an endpoint; hosts in the list could not take it.
    std::function<std::optional<peer_address>(service_id, request_id,
                                              std::span<peer_address const>)>
        choose_peer;
    /// Requests a permit for one request to an endpoint that limits its rate, under a
    /// number of `permit_replies`. Empty if another host was asked, whose reply ends the
    /// wait there, unless a datagram is lost.
    std::function<std::optional<permit_reply>(endpoint_id, std::uint64_t)> request_permit;
    /// Tells the host that issues an endpoint's permits what its answer said.
    std::function<void(rate_limit_notice const&)> report_rate_limit;
    /// Remembers the origin of a stream that begins at this host, also at other hosts.
    std::function<void(stream_origin const&)> remember_stream;
    /// Forgets a stream of `remember_stream` whose answer has ended.
    std::function<void(stream_id)> forget_open_stream;
    /// The software version that began a stream, asked for under a number of
    /// `origin_replies`. Empty if other hosts were asked; the first reply of one that
    /// knows the stream ends the wait there.
    std::function<std::optional<std::string>(stream_id, std::uint64_t)> find_stream;
    /// Whether the listing of the endpoints was read from service discovery after a time.
    /// If it was not, it is read soon, and the waiters of `listing_waiters` are woken.
    std::function<bool(time_point)> request_listing;
    /// The software version that began a stream by the versions that its service has had
    /// since.
    std::function<origin_finding(stream_question const&)> judge_versions;
    /// The software version that began a stream by what engines keep of its prompt.
    std::function<origin_finding(stream_question const&)> judge_kept_parts;
    /// Number of hosts that share the retry budgets.
    std::function<std::size_t()> host_count;
    /// Timers of the exchanges that wait for an adapter to be loaded, by `MODEL/ADAPTER`.
    waiting_timers<std::string> adapter_waiters;
    /// Timers of the exchanges that wait for an engine's status.
    waiting_timers<endpoint_id> status_waiters;
    /// Timers of the exchanges that wait for evidence of a stream's origin, by service.
    waiting_timers<service_id> evidence_waiters;
    /// Timers of the exchanges that wait for a listing of the endpoints, by service.
    waiting_timers<service_id> listing_waiters;
    /// Replies to requests for permits.
    pending_replies<permit_reply> permit_replies;
    /// Replies to questions for the origins of streams.
    pending_replies<stream_origin_reply> origin_replies;

    /// Applies what an endpoint's answer said of the rate of requests that it accepts;
    /// returns whether that changed the limit in force.
    bool apply_rate_limit(rate_limit_notice const& notice, time_point now)
    {
        auto const changed = rate_limits.apply(notice, now);
        if (changed)
            dispatch.set_rate_limit(notice.endpoint,
                                    rate_limits.limit_of(notice.endpoint));
        return changed;
    }

    /// Forgets the limit of an endpoint whose process has ended.
    void forget_rate_limit(endpoint_id endpoint)
    {
        rate_limits.forget(endpoint);
        dispatch.set_rate_limit(endpoint, std::nullopt);
    }

    /// Ends all requests that still run: those that no endpoint can have run are reported
    /// as not run.
    void end_requests()
    {
        auto const controls = open_exchanges;
        for (auto const& control : controls)
            control->abort(error_kind::shutting_down);
    }

    /// Wakes the exchanges that wait for an engine's status.
    void wake(endpoint_id engine)
    {
        cancel(status_waiters, engine);
    }

    /// Wakes the exchanges that wait for what the engines of a service keep.
    void wake(service_id service)
    {
        cancel(evidence_waiters, service);
    }

    /// Wakes all exchanges that wait for evidence of a stream's origin.
    void wake_evidence_waiters()
    {
        for (auto const& [service, timer] : evidence_waiters)
            timer->cancel();
    }

    /// Wakes the exchanges that wait for a listing of the endpoints.
    void wake_listing_waiters()
    {
        for (auto const& [service, timer] : listing_waiters)
            timer->cancel();
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
