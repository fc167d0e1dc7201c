#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/organisation/organisation.hpp>
#include <marjorampath/quota/quota_report.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace marjorampath
{

/// Settings of a host's share of a quota.
struct quota_share_options
{
    /// Time over which demand and use are averaged.
    duration averaging_time = std::chrono::seconds(1);
    /// Time in which the hosts together use up what is left of the burst, or save what
    /// they used too much.
    duration drain_time = std::chrono::seconds(2);
    /// Part of the limit by which all hosts together may exceed it.
    double tolerance = 0;
    /// Part of the tolerance that is used, so that fewer requests within the limit are
    /// refused for what the hosts do not know of each other; the rest covers that.
    double used_tolerance = 0.6;
    /// Time after the start of the process in which the tolerance is not used: longer
    /// than the window of a limit, as what ran before the start is not known.
    duration young_time = std::chrono::seconds(10);
    /// Time for whose use the bucket of a process begins in debt: what ran before its
    /// start may have been too much already.
    duration initial_debt = std::chrono::milliseconds(1'000);
    /// Part of the rate, as a time, that a process may use before it knows the others.
    /// Short, as any number of processes may start together.
    duration initial_time = std::chrono::milliseconds(3);
    /// Fraction of the rate below which all that is asked for is let through behind a
    /// start, once the others have reported.
    double calm_fraction = 0.8;
    /// Least age of a process that its averages are corrected for.
    duration min_averaged_time = std::chrono::milliseconds(200);
    /// Longest time after which a refused request may come back.
    duration max_wait = std::chrono::seconds(60);
    /// Fraction of the rate that is used in any case.
    double min_rate_fraction = 0.2;
    /// Time until other hosts learn of a change in demand, with a margin. While the burst
    /// would last longer at the present demand, requests are let through without a share.
    duration report_delay = std::chrono::seconds(1);
    /// Time after the start of the process in which the others' demand is not known yet.
    duration settling_time = std::chrono::milliseconds(1'500);
    /// Longest time for which an unused share of the rate is kept, besides a share of
    /// what is left of the burst.
    duration max_saved_time = std::chrono::milliseconds(250);
    /// Fraction of the limit from which on a host reports its demand, if all hosts had
    /// the same.
    double reported_fraction = 0.6;
};

/// Requests of an organisation, in units per second.
struct quota_demand
{
    double asked = 0;
    double used = 0;
};

/// The hosts that share a quota.
struct quota_hosts
{
    /// All of them, with this one and those that were lost lately.
    std::size_t sharing = 1;
    /// Those that this host does not hear of now: they may be cut off and go on.
    std::size_t silent = 0;
    /// Time until this process has had the time to learn of the others; zero if it has.
    duration unknown_for{0};

    /// Whether this process has had the time to learn of the others.
    [[nodiscard]] bool known() const noexcept
    {
        return unknown_for <= duration{0};
    }
};

/// One host's share of what an organisation's callers may send over all hosts together.
///
/// Each host follows the organisation's token bucket by its own use and by what the
/// others report. While the bucket is full enough for all that is asked, requests are let
/// through. Otherwise a host lets through the part of the rate that its callers ask for
/// of all that is asked, so that the shares of all hosts add up to the rate, and refuses
/// the rest. A host that is silent is taken for one with the same demand.
///
/// A process that has just started lets few small requests through until it knows the
/// others: of any number of processes that start together each would take the whole rate.
/// Then it has an even part of the rate since its start. A request may exceed the share
/// once, which all hosts would do together at first: each begins its share in debt by
/// another part of a request.
class quota_share
{
public:
    /// Constructs the share of a process that started at a time. `phase` is the part of
    /// its first request by which the share begins in debt, 0 to 1; spread over the
    /// hosts.
    quota_share(quota_share_options options, time_point started_at, double phase)
        : options_(options), started_at_(started_at), updated_at_(started_at),
          phase_(phase)
    {
    }

    /// Whether the process has started so lately that what ran before may count.
    [[nodiscard]] bool is_young(time_point now) const
    {
        return now - started_at_ < options_.young_time;
    }

    /// Changes the limit; what is left of the burst is kept as far as the new one allows.
    void set_limit(double rate, double burst, time_point now);

    /// Sets what the others report.
    void set_others(quota_demand const& others, time_point now);

    /// Sets the hosts that share the quota.
    void set_hosts(quota_hosts const& hosts, time_point now);

    /// Counts a request of some units and lets it through, or returns the time until the
    /// next one may be.
    std::optional<duration> ask(double units, time_point now);

    /// Counts units that are used without being asked for: a request runs again.
    void charge(double units, time_point now);

    /// Gives units back that were certainly not used.
    void give_back(double units, time_point now);

    /// Whether the demand is so high that the others need to know.
    [[nodiscard]] bool is_reported(time_point now);

    /// Demand and use, in units per second.
    [[nodiscard]] quota_demand demand(time_point now);

private:
    // Brings averages, bucket and share up to a time
    void update(time_point now);
    // Sets the limit that is in force at a time
    void apply_limit(time_point now);
    // Takes units from the bucket and the share
    void take(double units);
    // Demand over all hosts, in units per second
    [[nodiscard]] double total_asked(time_point now) const;
    // This host's part of what is asked for over all hosts
    [[nodiscard]] double part(time_point now) const;
    // Units per second that this host may let through
    [[nodiscard]] double share_rate(time_point now) const;
    // An average, corrected for the time before the process started
    [[nodiscard]] double corrected(double average, time_point now) const;
    // Time until a request may be let through, if it may not be now
    [[nodiscard]] std::optional<duration> time_to_share(double units,
                                                        time_point now) const;
    // Whether so little is asked for over all hosts that no share is needed
    [[nodiscard]] bool is_plenty(double units, time_point now) const;
    [[nodiscard]] bool is_settling(time_point now) const
    {
        return now - started_at_ < options_.settling_time;
    }

    quota_share_options options_;
    time_point started_at_;
    time_point updated_at_;
    // Part of the first request that is owed; zero behind that request
    double phase_;
    // Limit
    double limit_rate_ = 0;
    double limit_burst_ = 0;
    // Limit, with the part of the tolerance that is used now
    double rate_ = 0;
    double burst_ = 0;
    quota_hosts hosts_;
    quota_demand others_;
    // Units asked for and used here, as averages per second
    quota_demand own_;
    // What is left of the burst over all hosts; negative if too much was used
    double level_ = 0;
    // What is left of this host's share; a request may exceed it once
    double share_ = 0;
};

} // namespace marjorampath
