#include <programs/marjorampath-bench/policy_result.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>

namespace marjorampath::bench
{

namespace
{

using seconds_double = std::chrono::duration<double>;

double seconds(duration time)
{
    return seconds_double(time).count();
}

template <class Value>
double percentile(std::vector<Value>& values, double fraction)
{
    if (values.empty())
        return 0;
    auto const index =
        static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return static_cast<double>(values[index]);
}

void measure_stalls(policy_result& row, std::vector<double> stalls)
{
    if (stalls.empty())
        return;
    row.requests = stalls.size();
    row.stall_total = std::accumulate(stalls.begin(), stalls.end(), 0.0);
    auto const stalled = std::count_if(stalls.begin(), stalls.end(),
                                       [](double stall) { return stall > 0; });
    row.stalled = static_cast<double>(stalled) / static_cast<double>(stalls.size());
    row.stall_p50 = percentile(stalls, 0.50);
    row.stall_p95 = percentile(stalls, 0.95);
    row.stall_p99 = percentile(stalls, 0.99);
}

// Seconds from the shift of the hot set to the first window in which the fraction of
// requests without a stall is back at 90 % of its value before the shift
template <class Stall>
double recovery_time(trace const& workload, Stall const& stall)
{
    // Length of the window in seconds
    constexpr double window = 10.0;
    constexpr double tolerance = 0.9;
    auto const unstalled_fraction = [&](double from, double to)
    {
        double total = 0;
        double unstalled = 0;
        for (std::size_t index = 0; index < workload.requests.size(); ++index)
        {
            auto const at = seconds(workload.requests[index].at);
            if (at < from || at >= to)
                continue;
            total += 1;
            unstalled += stall(index) > duration(0) ? 0 : 1;
        }
        return total > 0 ? unstalled / total : 1.0;
    };
    auto const shift = seconds(workload.shift);
    auto const steady = unstalled_fraction(seconds(workload.measured_from), shift);
    auto from = shift;
    while (from + window < seconds(workload.end) &&
           unstalled_fraction(from, from + window) < tolerance * steady)
        from += 1.0;
    return from - shift;
}

// Max-min fair shares of the capacity for teams of equal weight
std::vector<double> fair_shares(std::vector<double> const& demand, double capacity)
{
    std::vector<double> shares(demand.size(), 0);
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](auto left, auto right) { return demand[left] < demand[right]; });
    auto remaining = capacity;
    for (std::size_t index = 0; index < order.size(); ++index)
    {
        auto const team = order[index];
        auto const equal_share = remaining / static_cast<double>(order.size() - index);
        shares[team] = std::min(demand[team], equal_share);
        remaining -= shares[team];
    }
    return shares;
}

void set_recovery_aim(policy_result& row, scenario const& setup, trace const& workload)
{
    // Seconds added to the time that the loads take
    constexpr double allowance = 5.0;
    row.recovery_aim = workload.shifted / setup.loads_per_second + allowance;
}

} // namespace

policy_result compute_result(world& simulation, std::string const& policy, duration busy,
                             std::vector<std::uint32_t> costs)
{
    auto const& workload = simulation.workload;
    auto const& setup = simulation.setup;
    policy_result row;
    row.scenario = setup.name;
    row.policy = policy;
    std::vector<double> stalls;
    std::vector<double> demand(setup.team_fractions.size(), 0);
    std::vector<double> served(setup.team_fractions.size(), 0);
    std::uint64_t finished = 0;
    std::uint64_t cut = 0;
    for (std::size_t index = 0; index < workload.requests.size(); ++index)
    {
        auto const& details = workload.requests[index];
        auto const& record = simulation.records[index];
        auto const is_finished = record.state == request_state::finished;

        // Tokens count if the request finished in the measured time, requests if they
        // arrived in it
        if (is_finished && record.finished_at >= time_point(workload.measured_from) &&
            record.finished_at <= time_point(workload.end))
            served[details.team] += details.tokens;
        if (details.at < workload.measured_from)
            continue;
        stalls.push_back(seconds(record.stall));
        demand[details.team] += details.tokens;
        if (record.state == request_state::cut)
            ++cut;
        if (is_finished)
            ++finished;
    }
    measure_stalls(row, stalls);
    auto const tokens = std::accumulate(served.begin(), served.end(), 0.0);
    auto const measured = seconds(workload.end - workload.measured_from);
    auto const full_rate = setup.concurrency / seconds(step_time(setup.concurrency));
    row.batch_efficiency = tokens / (full_rate * seconds(busy));
    row.utilisation = tokens / (full_rate * setup.engines * measured);
    row.goodput = static_cast<double>(finished) / static_cast<double>(row.requests);
    row.cut = static_cast<double>(cut) / static_cast<double>(row.requests);
    row.token_rate = tokens / measured;
    row.loads = simulation.loads;
    row.evictions = simulation.unloads;
    auto const shares = fair_shares(demand, tokens);
    row.fairness = 1.0;
    for (std::size_t team = 0; team < shares.size(); ++team)
        if (shares[team] > 0)
            row.fairness = std::min(row.fairness, served[team] / shares[team]);
    row.decision_mean_us = costs.empty()
                               ? 0
                               : std::accumulate(costs.begin(), costs.end(), 0.0) /
                                     static_cast<double>(costs.size()) / 1e3;
    row.decision_p99_us = percentile(costs, 0.99) / 1e3;
    if (workload.shift > duration(0))
    {
        set_recovery_aim(row, setup, workload);
        row.recovery = recovery_time(workload, [&](std::size_t index)
                                     { return simulation.records[index].stall; });
    }
    return row;
}

policy_result compute_result(scenario const& setup, trace const& workload,
                             clairvoyant_result const& reference)
{
    policy_result row;
    row.scenario = setup.name;
    row.policy = "clairvoyant";
    std::vector<double> stalls;
    for (std::size_t index = 0; index < workload.requests.size(); ++index)
        if (workload.requests[index].at >= workload.measured_from)
            stalls.push_back(seconds(reference.stalls[index]));
    measure_stalls(row, stalls);
    row.loads = reference.loads;
    row.goodput = 1.0;
    row.fairness = 1.0;
    if (workload.shift > duration(0))
    {
        set_recovery_aim(row, setup, workload);
        row.recovery = recovery_time(workload, [&](std::size_t index)
                                     { return reference.stalls[index]; });
    }
    return row;
}

} // namespace marjorampath::bench
